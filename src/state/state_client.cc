#include "state/state_client.h"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace deckhall {
namespace {

constexpr double kTimeout = 2.0;
constexpr double kLeastTimeout = 0.4;
constexpr double kSlow = 4;
constexpr double kSmooth = 0.1;
constexpr size_t kMaxAnswer = 4 << 20;

}  // namespace

// The three controllers share the limits; the one that leads needs most of them.
StateClient::StateClient(Loop* loop, const Clock* clock, Endpoint at, double rps, double write_rps)
    : clock_(clock),
      at_(std::move(at)),
      requests_(rps * 0.7, std::max(4.0, rps * 0.6)),
      writes_(write_rps * 0.85, WriteBurst(write_rps)),
      rps_(rps),
      http_(loop, 16, kMaxAnswer),
      refuse_(loop, [this] {
        for (Done& done : std::exchange(refused_, {})) {
          StateAnswer answer;
          answer.outcome = StateOutcome::kRefused;
          done(answer);
        }
      }) {}

void StateClient::Ask(const HttpCall& call, double reserve, Reader reader, Done done) {
  if (!requests_.Take(clock_->Now(), 1, reserve)) {
    refused_.push_back(std::move(done));
    if (!refuse_.active()) refuse_.Start(0.02);
    return;
  }
  const std::string what = call.method + " " + call.path;
  http_.Call(at_, call,
             [this, what, reader = std::move(reader), done = std::move(done)](const HttpResult& r) {
               StateAnswer answer;
               if (r.status == 0) {
                 answer.outcome = r.sent ? StateOutcome::kUnknown : StateOutcome::kRefused;
               } else if (r.status == 429 || r.status == 503) {
                 answer.outcome = StateOutcome::kRefused;
                 if (r.status == 429) requests_.Drain();
               } else {
                 reader(r, &answer);
                 if (answer.outcome == StateOutcome::kUnknown) {
                   spdlog::warn("state service: unusable answer {} to {}", r.status, what);
                 }
               }
               done(std::move(answer));
             });
}

void StateClient::Commit(const Transaction& txn, Done done) {
  const double puts = static_cast<double>(txn.mutations.size());
  // Bigger than the burst: waits until the bucket is full, then goes in debt.
  if (!writes_.Take(clock_->Now(), puts, -puts)) {
    refused_.push_back(std::move(done));
    if (!refuse_.active()) refuse_.Start(0.02);
    return;
  }
  // One that takes far longer than most is given up: written again under the same
  // versions, it is sooner known to be durable.
  const double timeout = std::clamp(kSlow * commit_s_, kLeastTimeout, kTimeout);
  const double sent = clock_->Now();
  Ask(
      {"POST", "/txn", EncodeTransaction(txn), timeout}, 2,
      [](const HttpResult& r, StateAnswer* a) {
        if (r.status == 200 && DecodeRevision(r.body, &a->number)) a->outcome = StateOutcome::kOk;
        if (r.status == 409) a->outcome = StateOutcome::kConflict;
        if (r.status == 400) a->outcome = StateOutcome::kRejected;
        if (r.status == 400) spdlog::warn("state service refuses a transaction: {}", r.body);
      },
      [this, sent, done = std::move(done)](const StateAnswer& a) {
        if (a.outcome != StateOutcome::kRefused) {
          commit_s_ += kSmooth * (clock_->Now() - sent - commit_s_);
        }
        done(a);
      });
}

void StateClient::Get(const std::string& key, Done done) {
  Ask(
      {"GET", "/kv/" + key, "", kTimeout}, 2,
      [](const HttpResult& r, StateAnswer* a) {
        KeyValue row;
        if (r.status == 200 && DecodeKeyValue(r.body, &row)) {
          a->outcome = StateOutcome::kOk;
          a->found = true;
          a->rows.push_back(std::move(row));
        } else if (r.status == 404 && DecodeRevision(r.body, &a->number)) {
          a->outcome = StateOutcome::kOk;
        }
      },
      std::move(done));
}

void StateClient::List(const std::string& prefix, const std::string& after, Done done) {
  std::string path = "/kv?starts=" + prefix + "&page=200";
  if (!after.empty()) path += "&from=" + after;
  Ask(
      {"GET", path, "", kTimeout}, 2,
      [](const HttpResult& r, StateAnswer* a) {
        if (r.status == 200 && DecodeKeyValues(r.body, &a->rows, &a->truncated, &a->number)) {
          a->outcome = StateOutcome::kOk;
        }
      },
      std::move(done));
}

void StateClient::Grant(int ttl_ms, Done done) {
  Ask(
      {"POST", "/grants", EncodeLeaseGrant(ttl_ms), kTimeout}, 1,
      [](const HttpResult& r, StateAnswer* a) {
        if (r.status == 200 && DecodeLeaseGrant(r.body, &a->number)) a->outcome = StateOutcome::kOk;
      },
      std::move(done));
}

void StateClient::Extend(uint64_t lease, double timeout_s, Done done) {
  Ask(
      {"POST", "/grants/" + std::to_string(lease) + "/extend", "{}", timeout_s}, -rps_ * 0.1,
      [](const HttpResult& r, StateAnswer* a) {
        if (r.status == 200) a->outcome = StateOutcome::kOk;
        if (r.status == 404) a->outcome = StateOutcome::kConflict;
      },
      std::move(done));
}

void StateClient::Drop(uint64_t lease, Done done) {
  Ask(
      {"DELETE", "/grants/" + std::to_string(lease), "", kTimeout}, 1,
      [](const HttpResult& r, StateAnswer* a) {
        if (r.status == 200 || r.status == 204) a->outcome = StateOutcome::kOk;
        if (r.status == 404) a->outcome = StateOutcome::kConflict;
      },
      std::move(done));
}

void StateClient::Watch(const std::string& prefix, uint64_t after, int hold_ms, Done done) {
  const std::string path = "/follow?starts=" + prefix + "&from=" + std::to_string(after) +
                           "&hold_ms=" + std::to_string(hold_ms);
  Ask(
      {"GET", path, "", hold_ms / 1000.0 + 3}, 2,
      [](const HttpResult& r, StateAnswer* a) {
        if (r.status == 200 && DecodeRevision(r.body, &a->number)) a->outcome = StateOutcome::kOk;
        if (r.status == 410) a->outcome = StateOutcome::kConflict;
      },
      std::move(done));
}

double StateClient::WriteRoom() { return writes_.Level(clock_->Now()); }

}  // namespace deckhall
