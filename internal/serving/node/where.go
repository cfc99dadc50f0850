package node

import (
	"net/http"

	"fireflypier.example/fireflypier/internal/document"
	"fireflypier.example/fireflypier/internal/failure"
	"fireflypier.example/fireflypier/internal/serving/dryrun"
)

// serveWhere answers where a request would go now. It changes no state but the log, which
// never has the texts of a question: one may be a key.
func (n *Node) serveWhere(w http.ResponseWriter, r *http.Request) {
	answer, err := n.where(r)
	status, body := http.StatusOK, any(answer)
	if err != nil {
		e := failure.From(err)
		status, body = e.Answer().Status, dryrun.Problem{Code: e.Kind.String(), Message: e.Message}
		n.Logger.Info("dry run refused", "status", status, "outcome", e.Kind.String())
	} else {
		n.Logger.Info("dry run answered", "route", answer.Route, "pool", answer.Pool, "outcome", answer.Decision.Outcome, "reason", answer.Decision.Reason,
			"target", answer.Decision.Target, "expected_ms", answer.Decision.Expected.Milliseconds(), "spillover", answer.Spillover.Decision)
	}
	data, err := document.Encode(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(data, '\n'))
}

func (n *Node) where(r *http.Request) (*dryrun.Answer, error) {
	q, err := dryrun.ParseQuestion(r.URL.Query())
	if err != nil {
		return nil, err
	}
	answer, err := n.forward.Where(q)
	if err != nil {
		return nil, err
	}
	answer.VM, answer.DataCentre = n.Settings.Name, n.Settings.DataCentre
	return answer, nil
}
