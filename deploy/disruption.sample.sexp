(disruption
  (revision "1")
  (budgets
    (default (down "1"))
    (team "billing" (down "10%" at-least-one) (stopped "20"))
    (class "billing" "intake" (down "1")))
  (drains
    (drain "retire-zone" (zone "south") (deadline-s "3600") (paused))
    (drain "rack-7" (network "10.1.4.0/24") (type "small") (paused))
    (drain "two-machines" (machine "m-000231") (machine "m-000232") (paused)))
  (steps
    (settle-s "10")
    (replace-within-s "120")
    (replacement-tries "3")
    (image-wait-s "20")
    (window-s "300")
    (at-once "64")))
