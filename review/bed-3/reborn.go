//go:build review

package main

import "time"

func init() { cases["reborn"] = playReborn }

const (
	cutAt = 4 * time.Second
	// The engine crashes crashAfter the beginning of the cut, starts again rebornAfter it, and the cut ends cutFor after it.
	crashAfter  = 400 * time.Millisecond
	rebornAfter = time.Second
	cutFor      = 1200 * time.Millisecond
)

// playReborn: an engine is partitioned from all machines, crashes behind the cut and starts again.
func playReborn(b *bed, daemon, dir string) (int, error) {
	b.publish(unresumedConfig())
	engines, err := b.startProcesses(5)
	defer func() {
		for _, e := range engines {
			e.crash()
		}
	}()
	if err != nil {
		return notPlayed, err
	}
	if err := b.startGateways(daemon, dir, 3); err != nil {
		return notPlayed, err
	}
	time.Sleep(time.Second)
	b.began = time.Now()
	client := newStreamClient(b, 12*time.Second)
	client.retries = 0
	var l load
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.run(client, 20*time.Millisecond, 8*time.Second)
	}()
	if b.trouble != "0" {
		e := engines[0]
		b.at(cutAt)
		b.logf("%s is partitioned from all machines", e.id)
		if err := e.path.setCut(true); err != nil {
			return notPlayed, err
		}
		if b.trouble != "cut" {
			b.at(cutAt + crashAfter)
			e.crash()
			b.logf("%s crashes behind the cut (SIGKILL)", e.id)
			b.at(cutAt + rebornAfter)
			if err := e.start(); err != nil {
				return notPlayed, err
			}
			b.logf("%s has started again", e.id)
		}
		b.at(cutAt + cutFor)
		b.logf("the partition ends")
		if err := e.path.setCut(false); err != nil {
			return notPlayed, err
		}
		e.writeEntry()
	}
	<-done
	l.wg.Wait()
	return b.concludeWhole(&l)
}
