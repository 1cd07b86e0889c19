; Disruption budgets and drains. Handed over with `serve --disruption FILE`; read again when it
; changes. Numbers go in quotes. Names of teams, zones and machines are examples: put your own.
(disruption
  ; Goes up with each change. Of the files of all controllers the highest one counts.
  (revision "1")
  (budgets
    ; Replicas of services of a team that may be down at the same time, for whatever cause.
    (default (down "1"))
    ; A share is rounded down; at-least-one allows one where it rounds down to none. `stopped`:
    ; tasks of arrays that may be lost or stopped within window-s.
    (team "billing" (down "10%" at-least-one) (stopped "20"))
    ; A class of jobs may have a limit of its own beside its team's.
    (class "billing" "intake" (down "1")))
  (drains
    ; All machines of a zone, those to come included: nothing is rented there meanwhile.
    ; (drain "retire-zone" (zone "south") (deadline-s "3600"))
    ; What is in a network, of one type only.
    ; (drain "rack-7" (network "10.1.4.0/24") (type "small"))
    ; Single machines; paused: they take no new tasks, but nothing is stopped.
    ; (drain "two" (machine "m-000231") (machine "m-000232") (paused))
  )
  (steps
    (settle-s "10")           ; a replacement has run for so long before the next step
    (replace-within-s "120")  ; after it another machine is tried, the next time after twice that
    (replacement-tries "3")   ; then the step is given up, and the job left alone
    (image-wait-s "20")       ; after it a place without the image will do
    (window-s "300")          ; for `stopped`
    (at-once "64")))          ; steps in flight over all drains
