#include "leader/election.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace deckhall {
namespace {

constexpr double kMillisecondsPerSecond = 1000.0;

// Delays before the next step. Each is multiplied by a random factor, so that controllers don't act
// in lockstep.
constexpr double kUnavailableRetrySeconds = 0.3;
constexpr double kCampaignDelaySeconds = 0.03;
constexpr double kConflictRetrySeconds = 0.02;
constexpr double kIndeterminateRetrySeconds = 0.1;
constexpr double kRevocationRetrySeconds = 0.02;
constexpr double kLeadershipLossPauseSeconds = 0.1;
constexpr double kResignedRereadSeconds = 0.3;  // between reads while not allowed to campaign
constexpr double kMinJitterFactor = 0.7;
constexpr double kMaxJitterFactor = 1.3;

constexpr int kWatchHoldMilliseconds = 10000;
// A watch that returns sooner than this is repeated only after a delay: repeated early returns
// would exhaust the request budget.
constexpr double kShortWatchSeconds = 0.1;
constexpr double kShortWatchRetrySeconds = 0.05;

// Several may be in flight, so that one that hangs does not delay the next one.
constexpr int kMaxKeepAlivesInFlight = 3;
constexpr double kKeepAliveTimeoutFraction = 0.6;  // of the lease's time to live
constexpr double kKeepAliveRetrySeconds = 0.15;

constexpr uint64_t kNoLease = 0;
constexpr uint64_t kAbsentVersion = 0;  // precondition: the key does not exist

}  // namespace

Election::Election(KeyValueStore* key_value_store, const Clock* clock, ElectionOptions options)
    : key_value_store_(key_value_store),
      clock_(clock),
      options_(std::move(options)),
      random_(options_.instance) {}

void Election::EnterStage(Stage stage, double delay_s) {
  stage_ = stage;
  DelayNextStep(delay_s);
}

void Election::DelayNextStep(double delay_s) {
  std::uniform_real_distribution<double> factor(kMinJitterFactor, kMaxJitterFactor);
  next_step_at_ = clock_->Now() + delay_s * factor(random_);
}

KeyValueStore::Done Election::BeginCall(
    std::function<void(const KeyValueResponse&)> handle_response) {
  call_in_flight_ = true;
  const uint64_t epoch = ++call_epoch_;
  return [this, epoch,
          handle_response = std::move(handle_response)](const KeyValueResponse& response) {
    if (epoch != call_epoch_) return;
    call_in_flight_ = false;
    handle_response(response);
  };
}

double Election::LeaseTtlSeconds() const { return options_.lease_ttl_ms / kMillisecondsPerSecond; }

double Election::LeaseValidUntil(double requested_at) const {
  return requested_at + LeaseTtlSeconds() * (1 - options_.clock_drift);
}

void Election::Tick() {
  const double now = clock_->Now();
  if (stage_ == Stage::kLeading) {
    if (now >= next_step_at_) KeepAliveLease();
    return;
  }
  if (call_in_flight_ || now < next_step_at_) return;
  if (stage_ == Stage::kGrantingLease && now < campaign_not_before_) {
    // Another controller may have acquired the key since it was read.
    EnterStage(Stage::kReadingKey, kResignedRereadSeconds);
    return;
  }
  if (stage_ == Stage::kReadingKey) ReadLeaderKey();
  if (stage_ == Stage::kGrantingLease) Campaign();
}

void Election::ReadLeaderKey() {
  key_value_store_->Get(kKey, BeginCall([this](const KeyValueResponse& response) {
                          HandleLeaderKeyResponse(response);
                        }));
}

void Election::HandleLeaderKeyResponse(const KeyValueResponse& response) {
  if (response.status != KeyValueStatus::kOk) {
    DelayNextStep(kUnavailableRetrySeconds);
  } else if (response.found) {
    HandleHeldKey(response.entries[0]);
  } else {
    HandleAbsentKey(response.revision_or_lease);
  }
}

void Election::HandleAbsentKey(uint64_t revision) {
  leader_label_.clear();
  // All earlier terms are over, and each of them was a revision up to this one.
  if (on_term_bound) on_term_bound(revision);
  EnterStage(Stage::kGrantingLease, kCampaignDelaySeconds);
}

void Election::HandleHeldKey(const KeyValue& entry) {
  const uint64_t term = entry.version;
  if (on_term_bound) on_term_bound(term);
  const LeaderKey key = DecodeLeaderKey(entry.value);
  if (IsOwnAcquisition(key)) {
    lease_valid_until_ = LeaseValidUntil(lease_requested_at_);
    BecomeLeader(term);
    return;
  }
  leader_label_ = former_leader_label_ = key.label;
  leader_term_ = term;
  if (IsFromFormerProcess(key)) {
    // That process must have ended, since this one could not listen on its address otherwise. So
    // there is no need to wait until its lease expires.
    spdlog::info("term={}: revoking the lease of this controller's former process", term);
    RevokeLease(key.lease_id);
    DelayNextStep(kRevocationRetrySeconds);
    return;
  }
  stage_ = Stage::kWatchingKey;
  WatchKey(term);
}

bool Election::IsOwnAcquisition(const LeaderKey& key) const {
  return key.instance == options_.instance && key.lease_id == lease_id_ && lease_id_ != kNoLease;
}

bool Election::IsFromFormerProcess(const LeaderKey& key) const {
  return key.label == options_.label && key.instance != options_.instance &&
         key.lease_id != kNoLease;
}

void Election::WatchKey(uint64_t revision) {
  auto handle_response = BeginCall([this, since = clock_->Now()](const KeyValueResponse& response) {
    HandleWatchResponse(response, since);
  });
  key_value_store_->Watch(kKey, revision, kWatchHoldMilliseconds, std::move(handle_response));
}

void Election::HandleWatchResponse(const KeyValueResponse& response, double watched_since) {
  // Whatever the response says, the key is read again to find its present holder.
  stage_ = Stage::kReadingKey;
  const bool short_watch = clock_->Now() - watched_since < kShortWatchSeconds;
  if (response.status != KeyValueStatus::kOk) {
    DelayNextStep(kUnavailableRetrySeconds);
  } else if (short_watch) {
    DelayNextStep(kShortWatchRetrySeconds);
  } else {
    next_step_at_ = 0;
    ReadLeaderKey();
  }
}

void Election::Campaign() {
  auto handle_response =
      BeginCall([this, requested_at = clock_->Now()](const KeyValueResponse& response) {
        HandleLeaseResponse(response, requested_at);
      });
  key_value_store_->GrantLease(options_.lease_ttl_ms, std::move(handle_response));
}

void Election::HandleLeaseResponse(const KeyValueResponse& response, double requested_at) {
  if (response.status == KeyValueStatus::kOk) {
    AcquireKey(response.revision_or_lease, requested_at);
  } else {
    EnterStage(Stage::kReadingKey, kUnavailableRetrySeconds);
  }
}

void Election::AcquireKey(uint64_t lease_id, double lease_requested_at) {
  stage_ = Stage::kAcquiringKey;
  lease_id_ = lease_id;
  lease_requested_at_ = lease_requested_at;
  const LeaderKey key{options_.label, options_.instance, lease_id};
  Transaction transaction;
  transaction.preconditions.push_back({kKey, kAbsentVersion});
  transaction.mutations.push_back({kKey, EncodeLeaderKey(key), lease_id});
  key_value_store_->Commit(transaction, BeginCall([this](const KeyValueResponse& response) {
                             HandleAcquisitionResponse(response);
                           }));
}

void Election::HandleAcquisitionResponse(const KeyValueResponse& response) {
  if (response.status == KeyValueStatus::kOk) {
    lease_valid_until_ = LeaseValidUntil(lease_requested_at_);
    BecomeLeader(response.revision_or_lease);
    return;
  }
  // Another controller was first, or the outcome is unknown; reading the key shows which. If the
  // transaction is applied late, the key is removed with its lease, which nobody keeps alive.
  const bool conflict = response.status == KeyValueStatus::kConflict;
  EnterStage(Stage::kReadingKey, conflict ? kConflictRetrySeconds : kIndeterminateRetrySeconds);
}

void Election::BecomeLeader(uint64_t term) {
  stage_ = Stage::kLeading;
  ++call_epoch_;
  call_in_flight_ = false;
  keep_alives_in_flight_ = 0;
  term_ = leader_term_ = term;
  leader_label_ = options_.label;
  next_step_at_ = 0;
  spdlog::info("term={}: acquired leadership", term);
  if (on_elected) on_elected(term);
}

void Election::KeepAliveLease() {
  if (keep_alives_in_flight_ >= kMaxKeepAlivesInFlight) return;
  const double sent_at = clock_->Now();
  next_step_at_ = sent_at + options_.keep_alive_interval_s;
  ++keep_alives_in_flight_;
  const uint64_t epoch = call_epoch_;
  key_value_store_->KeepAliveLease(lease_id_, LeaseTtlSeconds() * kKeepAliveTimeoutFraction,
                                   [this, epoch, sent_at](const KeyValueResponse& response) {
                                     if (epoch != call_epoch_) return;
                                     --keep_alives_in_flight_;
                                     HandleKeepAliveResponse(response, sent_at);
                                   });
}

void Election::HandleKeepAliveResponse(const KeyValueResponse& response, double sent_at) {
  if (response.status == KeyValueStatus::kOk) {
    lease_valid_until_ = std::max(lease_valid_until_, LeaseValidUntil(sent_at));
  } else if (response.status == KeyValueStatus::kConflict) {
    LoseLeadership(LeadershipLossReason::kLeaseExpired);
  } else {
    next_step_at_ = std::min(next_step_at_, clock_->Now() + kKeepAliveRetrySeconds);
  }
}

void Election::RevokeLease(uint64_t lease_id) {
  // If the request fails, the lease expires by itself.
  key_value_store_->RevokeLease(lease_id, [](const KeyValueResponse&) {});
}

void Election::Resign(LeadershipLossReason reason, double pause_s) {
  if (stage_ != Stage::kLeading) return;
  const uint64_t lease_id = lease_id_;
  campaign_not_before_ = clock_->Now() + pause_s;
  LoseLeadership(reason);
  RevokeLease(lease_id);
}

void Election::LoseLeadership(LeadershipLossReason reason) {
  if (stage_ != Stage::kLeading) return;
  spdlog::warn("term={}: lost leadership: {}", term_, LeadershipLossReasonText(reason));
  ++call_epoch_;
  call_in_flight_ = false;
  lease_valid_until_ = -1;
  lease_id_ = kNoLease;
  leader_label_.clear();
  EnterStage(Stage::kReadingKey, kLeadershipLossPauseSeconds);
  if (on_leadership_lost) on_leadership_lost();
}

}  // namespace deckhall
