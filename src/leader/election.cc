#include "leader/election.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace deckhall {
namespace {

constexpr int kWatchHoldMs = 10000;

std::string EncodeLeaderKey(const ElectionOptions& o, uint64_t lease) {
  rapidjson::StringBuffer buffer;
  JsonWriter writer(buffer);
  writer.StartObject();
  PutString(writer, "label", o.label);
  writer.Key("instance");
  writer.Uint64(o.instance);
  writer.Key("lease");
  writer.Uint64(lease);
  writer.EndObject();
  return buffer.GetString();
}

}  // namespace

Election::Election(KeyValueStore* state, const Clock* clock, ElectionOptions options)
    : key_value_store_(state),
      clock_(clock),
      options_(std::move(options)),
      random_(options_.instance) {}

void Election::RetryAfter(double after_s) {
  std::uniform_real_distribution<double> jitter(0.7, 1.3);
  next_action_at_ = clock_->Now() + after_s * jitter(random_);
}

void Election::Tick() {
  const double now = clock_->Now();
  if (stage_ == Stage::kLeading) {
    if (now >= next_action_at_) KeepAliveLease();
    return;
  }
  if (call_in_flight_ || now < next_action_at_) return;
  if (stage_ == Stage::kGrantingLease && now < campaign_not_before_) {
    // Somebody else may hold it by now.
    stage_ = Stage::kReadingKey;
    RetryAfter(0.3);
    return;
  }
  if (stage_ == Stage::kReadingKey) ReadLeaderKey();
  if (stage_ == Stage::kGrantingLease) Campaign();
}

void Election::ReadLeaderKey() {
  call_in_flight_ = true;
  const uint64_t epoch = ++call_epoch_;
  key_value_store_->Get(kKey, [this, epoch](const KeyValueResponse& response) {
    if (epoch != call_epoch_) return;
    call_in_flight_ = false;
    HandleLeaderKey(response);
  });
}

void Election::HandleLeaderKey(const KeyValueResponse& response) {
  if (response.status != KeyValueStatus::kOk) {
    RetryAfter(0.3);
    return;
  }
  if (!response.found) {
    // Whoever led before does no more: every term so far is at most the revision.
    leader_label_.clear();
    if (on_term_bound) on_term_bound(response.number);
    stage_ = Stage::kGrantingLease;
    RetryAfter(0.03);
    return;
  }
  const KeyValue& row = response.entries[0];
  if (on_term_bound) on_term_bound(row.version);
  rapidjson::Document doc;
  std::string label;
  uint64_t instance = 0;
  uint64_t lease = 0;
  if (ParseJson(row.value, &doc)) {
    JsonString(doc, "label", &label);
    JsonU64(doc, "instance", &instance);
    JsonU64(doc, "lease", &lease);
  }
  if (instance == options_.instance) {
    // Our own claim, whose answer was lost.
    if (lease == lease_id_ && lease_id_ != 0) {
      lease_valid_until_ =
          lease_requested_at_ + options_.lease_ttl_ms / 1000.0 * (1 - options_.clock_drift);
      BecomeLeader(row.version);
      return;
    }
  }
  leader_label_ = former_leader_label_ = label;
  leader_term_ = row.version;
  if (label == options_.label && instance != options_.instance && lease != 0) {
    // An earlier process under our own label: it ended, or we could not have its
    // address. Its lease need not run out.
    spdlog::info("term {} was held by this node's earlier process: ending its lease", row.version);
    key_value_store_->RevokeLease(lease, [](const KeyValueResponse&) {});
    RetryAfter(0.02);
    return;
  }
  stage_ = Stage::kWatchingKey;
  WatchKey(row.version);
}

void Election::WatchKey(uint64_t revision) {
  call_in_flight_ = true;
  const uint64_t epoch = ++call_epoch_;
  const double began = clock_->Now();
  key_value_store_->Watch(kKey, revision, kWatchHoldMs,
                          [this, epoch, began](const KeyValueResponse& response) {
                            if (epoch != call_epoch_) return;
                            call_in_flight_ = false;
                            // Whatever came, the key itself says who holds it.
                            stage_ = Stage::kReadingKey;
                            const bool quick = clock_->Now() - began < 0.1;
                            if (response.status == KeyValueStatus::kOk && !quick) {
                              next_action_at_ = 0;
                              ReadLeaderKey();
                            } else {
                              RetryAfter(response.status == KeyValueStatus::kOk ? 0.05 : 0.3);
                            }
                          });
}

void Election::Campaign() {
  call_in_flight_ = true;
  const uint64_t epoch = ++call_epoch_;
  const double sent = clock_->Now();
  key_value_store_->GrantLease(options_.lease_ttl_ms,
                               [this, epoch, sent](const KeyValueResponse& response) {
                                 if (epoch != call_epoch_) return;
                                 call_in_flight_ = false;
                                 if (response.status != KeyValueStatus::kOk) {
                                   stage_ = Stage::kReadingKey;
                                   RetryAfter(0.3);
                                   return;
                                 }
                                 AcquireKey(response.number, sent);
                               });
}

void Election::AcquireKey(uint64_t lease, double sent) {
  stage_ = Stage::kAcquiringKey;
  call_in_flight_ = true;
  lease_id_ = lease;
  lease_requested_at_ = sent;
  const uint64_t epoch = ++call_epoch_;
  Transaction transaction;
  transaction.preconditions.push_back({kKey, 0});
  transaction.mutations.push_back({kKey, EncodeLeaderKey(options_, lease), lease});
  key_value_store_->Commit(transaction, [this, epoch](const KeyValueResponse& response) {
    if (epoch != call_epoch_) return;
    call_in_flight_ = false;
    if (response.status == KeyValueStatus::kOk) {
      lease_valid_until_ =
          lease_requested_at_ + options_.lease_ttl_ms / 1000.0 * (1 - options_.clock_drift);
      BecomeLeader(response.number);
      return;
    }
    // Lost, or not known: the key tells. A claim that is applied late dies with
    // its lease, which nobody renews.
    stage_ = Stage::kReadingKey;
    RetryAfter(response.status == KeyValueStatus::kConflict ? 0.02 : 0.1);
  });
}

void Election::BecomeLeader(uint64_t term) {
  stage_ = Stage::kLeading;
  ++call_epoch_;
  call_in_flight_ = false;
  keep_alives_in_flight_ = 0;
  term_ = leader_term_ = term;
  leader_label_ = options_.label;
  next_action_at_ = 0;
  spdlog::info("leading: term {}", term);
  if (on_elected) on_elected(term);
}

void Election::KeepAliveLease() {
  // A renewal that hangs must not keep the next one back; two may be on their way.
  if (keep_alives_in_flight_ >= 3) return;
  const double sent = clock_->Now();
  next_action_at_ = sent + options_.keep_alive_interval_s;
  ++keep_alives_in_flight_;
  const uint64_t epoch = call_epoch_;
  key_value_store_->KeepAliveLease(
      lease_id_, options_.lease_ttl_ms / 1000.0 * 0.6,
      [this, epoch, sent](const KeyValueResponse& response) {
        if (epoch != call_epoch_) return;
        --keep_alives_in_flight_;
        if (response.status == KeyValueStatus::kOk) {
          const double until = sent + options_.lease_ttl_ms / 1000.0 * (1 - options_.clock_drift);
          lease_valid_until_ = std::max(lease_valid_until_, until);
        } else if (response.status == KeyValueStatus::kConflict) {
          LoseLeadership("the lease is gone");
        } else {
          next_action_at_ = std::min(next_action_at_, clock_->Now() + 0.15);
        }
      });
}

void Election::Resign(const char* why, double pause_s) {
  if (stage_ != Stage::kLeading) return;
  const uint64_t lease = lease_id_;
  campaign_not_before_ = clock_->Now() + pause_s;
  LoseLeadership(why);
  key_value_store_->RevokeLease(lease, [](const KeyValueResponse&) {});
}

void Election::LoseLeadership(const char* why) {
  if (stage_ != Stage::kLeading) return;
  spdlog::warn("no longer leading term {}: {}", term_, why);
  stage_ = Stage::kReadingKey;
  ++call_epoch_;
  call_in_flight_ = false;
  lease_valid_until_ = -1;
  lease_id_ = 0;
  leader_label_.clear();
  RetryAfter(0.1);
  if (on_leadership_lost) on_leadership_lost();
}

}  // namespace deckhall
