#include "state/key_value_client.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace deckhall {
namespace {

constexpr double kTimeout = 2.0;
constexpr double kMinCommitTimeoutSeconds = 0.4;
constexpr double kSlowCommitFactor = 4;
constexpr double kCommitSmoothing = 0.1;
constexpr size_t kMaxResponseBytes = 4 << 20;

// The response is good when there is a number: a revision, or a lease.
void SetNumber(std::optional<uint64_t> number, KeyValueResponse* response) {
  if (!number) return;
  response->status = KeyValueStatus::kOk;
  response->number = *number;
}

}  // namespace

// The three controllers share the limits; the one that leads needs most of them.
KeyValueClient::KeyValueClient(Loop* loop, const Clock* clock, Endpoint at, double rps,
                               double write_rps)
    : clock_(clock),
      endpoint_(std::move(at)),
      requests_(rps * 0.7, std::max(4.0, rps * 0.6)),
      writes_(write_rps * 0.85, WriteBurst(write_rps)),
      rps_(rps),
      http_(loop, 16, kMaxResponseBytes),
      refusal_timer_(loop, [this] {
        for (Done& done : std::exchange(refused_calls_, {})) {
          KeyValueResponse response;
          response.status = KeyValueStatus::kUnavailable;
          done(response);
        }
      }) {}

void KeyValueClient::Send(const HttpCall& call, double reserve, Reader reader, Done done) {
  if (!requests_.Take(clock_->Now(), 1, reserve)) {
    refused_calls_.push_back(std::move(done));
    if (!refusal_timer_.active()) refusal_timer_.Start(0.02);
    return;
  }
  const std::string what = call.method + " " + call.path;
  http_.Call(
      endpoint_, call,
      [this, what, reader = std::move(reader), done = std::move(done)](const HttpResult& result) {
        KeyValueResponse response;
        if (result.status == 0) {
          response.status =
              result.sent ? KeyValueStatus::kIndeterminate : KeyValueStatus::kUnavailable;
        } else if (result.status == 429 || result.status == 503) {
          response.status = KeyValueStatus::kUnavailable;
          if (result.status == 429) requests_.Drain();
        } else {
          reader(result, &response);
          if (response.status == KeyValueStatus::kIndeterminate) {
            spdlog::warn("state service: unusable answer {} to {}", result.status, what);
          }
        }
        done(std::move(response));
      });
}

void KeyValueClient::Commit(const Transaction& transaction, Done done) {
  const double puts = static_cast<double>(transaction.mutations.size());
  // Bigger than the burst: waits until the bucket is full, then goes in debt.
  if (!writes_.Take(clock_->Now(), puts, -puts)) {
    refused_calls_.push_back(std::move(done));
    if (!refusal_timer_.active()) refusal_timer_.Start(0.02);
    return;
  }
  // One that takes far longer than most is given up: written again under the same
  // versions, it is sooner known to be durable.
  const double timeout =
      std::clamp(kSlowCommitFactor * smoothed_commit_s_, kMinCommitTimeoutSeconds, kTimeout);
  const double sent = clock_->Now();
  Send(
      {"POST", "/txn", EncodeTransaction(transaction), timeout}, 2,
      [](const HttpResult& result, KeyValueResponse* response) {
        if (result.status == 200) SetNumber(DecodeRevision(result.body), response);
        if (result.status == 409) response->status = KeyValueStatus::kConflict;
        if (result.status == 400) response->status = KeyValueStatus::kInvalid;
        if (result.status == 400)
          spdlog::warn("state service refuses a transaction: {}", result.body);
      },
      [this, sent, done = std::move(done)](const KeyValueResponse& response) {
        if (response.status != KeyValueStatus::kUnavailable) {
          smoothed_commit_s_ += kCommitSmoothing * (clock_->Now() - sent - smoothed_commit_s_);
        }
        done(response);
      });
}

void KeyValueClient::Get(const std::string& key, Done done) {
  Send(
      {"GET", "/kv/" + key, "", kTimeout}, 2,
      [](const HttpResult& result, KeyValueResponse* response) {
        if (result.status == 404) SetNumber(DecodeRevision(result.body), response);
        if (result.status != 200) return;
        std::optional<KeyValue> entry = DecodeKeyValue(result.body);
        if (!entry) return;
        response->status = KeyValueStatus::kOk;
        response->found = true;
        response->entries.push_back(std::move(*entry));
      },
      std::move(done));
}

void KeyValueClient::List(const std::string& prefix, const std::string& after, Done done) {
  std::string path = "/kv?starts=" + prefix + "&page=200";
  if (!after.empty()) path += "&from=" + after;
  Send(
      {"GET", path, "", kTimeout}, 2,
      [](const HttpResult& result, KeyValueResponse* response) {
        if (result.status != 200) return;
        std::optional<KeyValuePage> page = DecodeKeyValues(result.body);
        if (!page) return;
        response->status = KeyValueStatus::kOk;
        response->number = page->revision;
        response->truncated = page->truncated;
        response->entries = std::move(page->entries);
      },
      std::move(done));
}

void KeyValueClient::GrantLease(int ttl_ms, Done done) {
  Send(
      {"POST", "/grants", EncodeLeaseGrant(ttl_ms), kTimeout}, 1,
      [](const HttpResult& result, KeyValueResponse* response) {
        if (result.status == 200) SetNumber(DecodeLeaseGrant(result.body), response);
      },
      std::move(done));
}

void KeyValueClient::KeepAliveLease(uint64_t lease, double timeout_s, Done done) {
  Send(
      {"POST", "/grants/" + std::to_string(lease) + "/extend", "{}", timeout_s}, -rps_ * 0.1,
      [](const HttpResult& result, KeyValueResponse* response) {
        if (result.status == 200) response->status = KeyValueStatus::kOk;
        if (result.status == 404) response->status = KeyValueStatus::kConflict;
      },
      std::move(done));
}

void KeyValueClient::RevokeLease(uint64_t lease, Done done) {
  Send(
      {"DELETE", "/grants/" + std::to_string(lease), "", kTimeout}, 1,
      [](const HttpResult& result, KeyValueResponse* response) {
        if (result.status == 200 || result.status == 204) response->status = KeyValueStatus::kOk;
        if (result.status == 404) response->status = KeyValueStatus::kConflict;
      },
      std::move(done));
}

void KeyValueClient::Watch(const std::string& prefix, uint64_t after, int hold_ms, Done done) {
  const std::string path = "/follow?starts=" + prefix + "&from=" + std::to_string(after) +
                           "&hold_ms=" + std::to_string(hold_ms);
  Send(
      {"GET", path, "", hold_ms / 1000.0 + 3}, 2,
      [](const HttpResult& result, KeyValueResponse* response) {
        if (result.status == 200) SetNumber(DecodeRevision(result.body), response);
        if (result.status == 410) response->status = KeyValueStatus::kConflict;
      },
      std::move(done));
}

double KeyValueClient::AvailableWriteTokens() { return writes_.Level(clock_->Now()); }

}  // namespace deckhall
