package bfclaim

import "time"

func (p *partition) listOf(r *record) *list {
	if r.state == stateReleased {
		return &p.released
	}
	return &p.kept
}

// move gives the record a new state and puts it at the young end of its list.
func (p *partition) move(r *record, s state, index uint64, now time.Time) {
	p.listOf(r).unlink(r)
	r.state, r.index, r.at = s, index, now.UnixMilli()
	p.listOf(r).push(r)
}

func (p *partition) remove(r *record) {
	if p.answerHead == r {
		p.dropOldestAnswer()
	}
	p.listOf(r).unlink(r)
	delete(p.records, r.id)
	p.floor = max(p.floor, r.index)
}

// addAnswer appends the record to the answers, which have the order of the
// completed records, and drops the oldest beyond the budget.
func (p *partition) addAnswer(r *record, answer []byte) {
	r.answer = answer
	p.answerBytes += len(answer)
	if p.answerTail == nil {
		p.answerHead = r
	} else {
		p.answerTail.nextAnswer = r
	}
	p.answerTail = r
	for p.answerBytes > answerBudget && p.answerHead != nil {
		p.dropOldestAnswer()
	}
}

func (p *partition) dropOldestAnswer() {
	r := p.answerHead
	p.answerBytes -= len(r.answer)
	p.answerHead, r.nextAnswer, r.answer = r.nextAnswer, nil, nil
	if p.answerHead == nil {
		p.answerTail = nil
	}
}

func (l *list) push(r *record) {
	r.prev, r.next = l.tail, nil
	if l.tail == nil {
		l.head = r
	} else {
		l.tail.next = r
	}
	l.tail = r
	l.n++
}

func (l *list) unlink(r *record) {
	if r.prev == nil {
		l.head = r.next
	} else {
		r.prev.next = r.next
	}
	if r.next == nil {
		l.tail = r.prev
	} else {
		r.next.prev = r.prev
	}
	r.prev, r.next = nil, nil
	l.n--
}
