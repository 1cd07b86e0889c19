#include "app/leader_lifecycle.h"

#include <utility>

#include "leader/election.h"

namespace deckhall {

LeaderLifecycle::LeaderLifecycle(const Clock* clock, const Settings* settings, const Tuning* tuning)
    : clock_(clock), settings_(settings), tuning_(tuning) {}

Leader* LeaderLifecycle::CreateLeader(const LeaderPorts& ports, uint64_t term) {
  RetireLeader();
  current_ = std::make_unique<Leader>(ports, settings_, tuning_, Election::kKey, term);
  elected_at_ = clock_->Now();
  return current_.get();
}

void LeaderLifecycle::RetireLeader() {
  if (!current_) return;
  // No longer current while it answers its users, as these may send further requests at once.
  retired_.push_back(std::move(current_));
  Leader* leader = retired_.back().get();
  leader->Retire();
}

void LeaderLifecycle::DestroyRetiredLeaders() {
  std::erase_if(retired_,
                [](const std::unique_ptr<Leader>& leader) { return !leader->IsRunning(); });
}

}  // namespace deckhall
