#include "leader/election.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace deckhall {
namespace {

constexpr int kHoldMs = 10000;

std::string Holder(const ElectionOptions& o, uint64_t lease) {
  rapidjson::StringBuffer buffer;
  JsonWriter w(buffer);
  w.StartObject();
  PutString(w, "label", o.label);
  w.Key("instance");
  w.Uint64(o.instance);
  w.Key("lease");
  w.Uint64(lease);
  w.EndObject();
  return buffer.GetString();
}

}  // namespace

Election::Election(KeyValueStore* state, const Clock* clock, ElectionOptions options)
    : state_(state), clock_(clock), options_(std::move(options)), random_(options_.instance) {}

void Election::Retry(double after_s) {
  std::uniform_real_distribution<double> jitter(0.7, 1.3);
  next_ = clock_->Now() + after_s * jitter(random_);
}

void Election::Tick() {
  const double now = clock_->Now();
  if (stage_ == Stage::kHolding) {
    if (now >= next_) Renew();
    return;
  }
  if (busy_ || now < next_) return;
  if (stage_ == Stage::kGranting && now < not_before_) {
    // Somebody else may hold it by now.
    stage_ = Stage::kLooking;
    Retry(0.3);
    return;
  }
  if (stage_ == Stage::kLooking) Look();
  if (stage_ == Stage::kGranting) RunForIt();
}

void Election::Look() {
  busy_ = true;
  const uint64_t epoch = ++epoch_;
  state_->Get(kKey, [this, epoch](const KeyValueResponse& answer) {
    if (epoch != epoch_) return;
    busy_ = false;
    Seen(answer);
  });
}

void Election::Seen(const KeyValueResponse& answer) {
  if (answer.status != KeyValueStatus::kOk) {
    Retry(0.3);
    return;
  }
  if (!answer.found) {
    // Whoever led before does no more: every term so far is at most the revision.
    leader_label_.clear();
    if (on_known) on_known(answer.number);
    stage_ = Stage::kGranting;
    Retry(0.03);
    return;
  }
  const KeyValue& row = answer.entries[0];
  if (on_known) on_known(row.version);
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
    if (lease == lease_ && lease_ != 0) {
      trusted_until_ = granted_at_ + options_.ttl_ms / 1000.0 * (1 - options_.drift);
      Won(row.version);
      return;
    }
  }
  leader_label_ = former_label_ = label;
  leader_term_ = row.version;
  if (label == options_.label && instance != options_.instance && lease != 0) {
    // An earlier process under our own label: it ended, or we could not have its
    // address. Its lease need not run out.
    spdlog::info("term {} was held by this node's earlier process: ending its lease", row.version);
    state_->RevokeLease(lease, [](const KeyValueResponse&) {});
    Retry(0.02);
    return;
  }
  stage_ = Stage::kWatching;
  Watch(row.version);
}

void Election::Watch(uint64_t revision) {
  busy_ = true;
  const uint64_t epoch = ++epoch_;
  const double began = clock_->Now();
  state_->Watch(kKey, revision, kHoldMs, [this, epoch, began](const KeyValueResponse& answer) {
    if (epoch != epoch_) return;
    busy_ = false;
    // Whatever came, the key itself says who holds it.
    stage_ = Stage::kLooking;
    const bool quick = clock_->Now() - began < 0.1;
    if (answer.status == KeyValueStatus::kOk && !quick) {
      next_ = 0;
      Look();
    } else {
      Retry(answer.status == KeyValueStatus::kOk ? 0.05 : 0.3);
    }
  });
}

void Election::RunForIt() {
  busy_ = true;
  const uint64_t epoch = ++epoch_;
  const double sent = clock_->Now();
  state_->GrantLease(options_.ttl_ms, [this, epoch, sent](const KeyValueResponse& answer) {
    if (epoch != epoch_) return;
    busy_ = false;
    if (answer.status != KeyValueStatus::kOk) {
      stage_ = Stage::kLooking;
      Retry(0.3);
      return;
    }
    Claim(answer.number, sent);
  });
}

void Election::Claim(uint64_t lease, double sent) {
  stage_ = Stage::kClaiming;
  busy_ = true;
  lease_ = lease;
  granted_at_ = sent;
  const uint64_t epoch = ++epoch_;
  Transaction txn;
  txn.preconditions.push_back({kKey, 0});
  txn.mutations.push_back({kKey, Holder(options_, lease), lease});
  state_->Commit(txn, [this, epoch](const KeyValueResponse& answer) {
    if (epoch != epoch_) return;
    busy_ = false;
    if (answer.status == KeyValueStatus::kOk) {
      trusted_until_ = granted_at_ + options_.ttl_ms / 1000.0 * (1 - options_.drift);
      Won(answer.number);
      return;
    }
    // Lost, or not known: the key tells. A claim that is applied late dies with
    // its lease, which nobody renews.
    stage_ = Stage::kLooking;
    Retry(answer.status == KeyValueStatus::kConflict ? 0.02 : 0.1);
  });
}

void Election::Won(uint64_t term) {
  stage_ = Stage::kHolding;
  ++epoch_;
  busy_ = false;
  renewing_ = 0;
  term_ = leader_term_ = term;
  leader_label_ = options_.label;
  next_ = 0;
  spdlog::info("leading: term {}", term);
  if (on_won) on_won(term);
}

void Election::Renew() {
  // A renewal that hangs must not keep the next one back; two may be on their way.
  if (renewing_ >= 3) return;
  const double sent = clock_->Now();
  next_ = sent + options_.renew_s;
  ++renewing_;
  const uint64_t epoch = epoch_;
  state_->KeepAliveLease(
      lease_, options_.ttl_ms / 1000.0 * 0.6, [this, epoch, sent](const KeyValueResponse& a) {
        if (epoch != epoch_) return;
        --renewing_;
        if (a.status == KeyValueStatus::kOk) {
          const double until = sent + options_.ttl_ms / 1000.0 * (1 - options_.drift);
          trusted_until_ = std::max(trusted_until_, until);
        } else if (a.status == KeyValueStatus::kConflict) {
          Abdicate("the lease is gone");
        } else {
          next_ = std::min(next_, clock_->Now() + 0.15);
        }
      });
}

void Election::StepDown(const char* why, double pause_s) {
  if (stage_ != Stage::kHolding) return;
  const uint64_t lease = lease_;
  not_before_ = clock_->Now() + pause_s;
  Abdicate(why);
  state_->RevokeLease(lease, [](const KeyValueResponse&) {});
}

void Election::Abdicate(const char* why) {
  if (stage_ != Stage::kHolding) return;
  spdlog::warn("no longer leading term {}: {}", term_, why);
  stage_ = Stage::kLooking;
  ++epoch_;
  busy_ = false;
  trusted_until_ = -1;
  lease_ = 0;
  leader_label_.clear();
  Retry(0.1);
  if (on_lost) on_lost();
}

}  // namespace deckhall
