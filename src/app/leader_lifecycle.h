// The lifecycle of this controller's `Leader` objects: one is started for each term that this
// controller leads, retired when the term ends, and destroyed once none of its calls is running.
//
// Invariants: at most one leader is current. A retired leader accepts and sends no requests, and
// responses to its outstanding requests are dropped (CallbackScope), so it needs not wait for them.
// A leader may be retired from within one of its own methods; it is destroyed after that has
// returned.
//
// Owned by `Controller`. Single-threaded; all times are seconds of the steady clock.
#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "config/settings.h"
#include "config/tuning.h"
#include "leader/leader.h"
#include "net/clock.h"

namespace deckhall {

class LeaderLifecycle {
 public:
  // The pointers must outlive this object.
  LeaderLifecycle(const Clock* clock, const Settings* settings, const Tuning* tuning);

  // Creates the leader of a term and makes it current; retires the former one if it still is. The
  // caller sets its callbacks and starts it.
  Leader* CreateLeader(const LeaderPorts& ports, uint64_t term);
  // Retires the current leader, if there is one.
  void RetireLeader();
  // Destroys the retired leaders, except those of which a call is running. Called periodically.
  void DestroyRetiredLeaders();

  // The leader of the current term; null while this controller does not lead.
  Leader* current() { return current_.get(); }
  const Leader* current() const { return current_.get(); }
  // Whether there is a leader that has loaded the stored records, and so can serve users.
  bool HasLoadedLeader() const { return current_ && current_->loaded(); }
  // When this controller was last elected; 0 before its first term.
  double elected_at() const { return elected_at_; }

 private:
  const Clock* clock_;
  const Settings* settings_;
  const Tuning* tuning_;
  std::unique_ptr<Leader> current_;
  std::vector<std::unique_ptr<Leader>> retired_;
  double elected_at_ = 0;
};

}  // namespace deckhall
