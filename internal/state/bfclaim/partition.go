package bfclaim

import "time"

func (p *partition) listOf(r *record) *list {
	if r.state == stateReleased {
		return &p.released
	}
	return &p.retained
}

// setState changes the state of the record and appends it to the list for that state.
func (p *partition) setState(r *record, s state, index uint64, now time.Time) {
	p.listOf(r).remove(r)
	r.state, r.index, r.changedAt = s, index, now.UnixMilli()
	p.listOf(r).pushBack(r)
}

func (p *partition) remove(r *record) {
	if p.answerHead == r {
		p.dropOldestAnswer()
	}
	p.listOf(r).remove(r)
	delete(p.records, r.id)
	p.expiredIndex = max(p.expiredIndex, r.index)
}

// addAnswer stores the answer of a completed record and appends the record to the list
// of answers, which is in order of completion. It drops the oldest answers while the
// partition exceeds answerBudget.
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

func (l *list) pushBack(r *record) {
	r.prev, r.next = l.tail, nil
	if l.tail == nil {
		l.head = r
	} else {
		l.tail.next = r
	}
	l.tail = r
	l.n++
}

func (l *list) remove(r *record) {
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
