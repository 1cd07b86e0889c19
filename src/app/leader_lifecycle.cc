#include "app/leader_lifecycle.h"

#include <utility>

#include "leader/election.h"

namespace deckhall {
namespace {

// Longer than the timeout of any request that a leader sends.
constexpr double kRetiredLeaderRetentionSeconds = 15;

}  // namespace

LeaderLifecycle::LeaderLifecycle(const Clock* clock, const Settings* settings, const Tuning* tuning)
    : clock_(clock), settings_(settings), tuning_(tuning) {}

Leader* LeaderLifecycle::CreateLeader(const LeaderPorts& ports, uint64_t term) {
  current_ = std::make_unique<Leader>(ports, settings_, tuning_, Election::kKey, term);
  elected_at_ = clock_->Now();
  return current_.get();
}

void LeaderLifecycle::RetireLeader() {
  if (!current_) return;
  current_->Retire();
  retired_.push_back({clock_->Now(), std::move(current_)});
}

void LeaderLifecycle::DestroyRetiredLeaders(double now) {
  std::erase_if(retired_, [now](const RetiredLeader& retired) {
    return now - retired.retired_at > kRetiredLeaderRetentionSeconds;
  });
}

}  // namespace deckhall
