#include "state/key_value_client.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace deckhall {
namespace {

constexpr double kTimeout = 2.0;
// A commit is given up after this multiple of the average duration, but not earlier than this.
constexpr double kSlowCommitFactor = 4;
constexpr double kMinCommitTimeoutSeconds = 0.4;
// Weight of the latest commit in the average duration.
constexpr double kCommitSmoothing = 0.1;
constexpr size_t kMaxResponseBytes = 4 << 20;
constexpr size_t kMaxConnections = 16;
// The controllers share the limits; the leader needs most of them. Shares of the limits that one
// controller uses, for the rate and for the burst.
constexpr double kRequestRateShare = 0.7;
constexpr double kRequestBurstShare = 0.6;
constexpr double kMinRequestBurst = 4.0;
constexpr double kWriteRateShare = 0.85;
// Overdraft of request tokens for renewing a lease, as a share of the limit: leadership depends
// on it.
constexpr double kKeepAliveOverdraftShare = 0.1;
constexpr double kRefusalDelaySeconds = 0.02;

constexpr int kHttpTooManyRequests = 429;
constexpr int kHttpServiceUnavailable = 503;

}  // namespace

KeyValueClient::KeyValueClient(Loop* loop, const Clock* clock, Endpoint endpoint, double rps,
                               double write_rps)
    : clock_(clock),
      endpoint_(std::move(endpoint)),
      requests_(rps * kRequestRateShare, std::max(kMinRequestBurst, rps * kRequestBurstShare)),
      writes_(write_rps * kWriteRateShare, WriteBurst(write_rps)),
      rps_(rps),
      http_(loop, kMaxConnections, kMaxResponseBytes),
      refusal_timer_(loop, [this] { CompleteRefusedCalls(); }) {}

void KeyValueClient::RefuseLater(Done done) {
  refused_calls_.push_back(std::move(done));
  if (!refusal_timer_.active()) refusal_timer_.Start(kRefusalDelaySeconds);
}

void KeyValueClient::CompleteRefusedCalls() {
  for (Done& done : std::exchange(refused_calls_, {})) {
    KeyValueResponse response;
    response.status = KeyValueStatus::kUnavailable;
    done(response);
  }
}

void KeyValueClient::Send(const HttpCall& call, double reserve, Reader reader, Done done) {
  if (!requests_.Take(clock_->Now(), 1, reserve)) {
    RefuseLater(std::move(done));
    return;
  }
  http_.Call(endpoint_, call,
             [this, request = call.method + " " + call.path, reader = std::move(reader),
              done = std::move(done)](const HttpResult& result) {
               done(ReadResult(result, request, reader));
             });
}

KeyValueResponse KeyValueClient::ReadResult(const HttpResult& result, const std::string& request,
                                            const Reader& reader) {
  KeyValueResponse response;
  if (result.status == 0) {
    response.status = result.sent ? KeyValueStatus::kIndeterminate : KeyValueStatus::kUnavailable;
    return response;
  }
  if (result.status == kHttpTooManyRequests || result.status == kHttpServiceUnavailable) {
    response.status = KeyValueStatus::kUnavailable;
    if (result.status == kHttpTooManyRequests) requests_.Drain();
    return response;
  }
  reader(result, &response);
  if (response.status == KeyValueStatus::kIndeterminate) {
    spdlog::warn("request=\"{}\" status={}: unusable response from the state service", request,
                 result.status);
  }
  return response;
}

void KeyValueClient::Commit(const Transaction& transaction, Done done) {
  const double puts = static_cast<double>(transaction.mutations.size());
  // Overdraws the bucket: a transaction of more puts than the burst could never be sent.
  if (!writes_.Take(clock_->Now(), puts, -puts)) {
    RefuseLater(std::move(done));
    return;
  }
  // A commit that takes far longer than most is given up: sent again under the same versions,
  // it is sooner known to be durable.
  const double timeout =
      std::clamp(kSlowCommitFactor * smoothed_commit_s_, kMinCommitTimeoutSeconds, kTimeout);
  const double sent = clock_->Now();
  Send(
      {"POST", "/txn", EncodeTransaction(transaction), timeout}, 2,
      [](const HttpResult& result, KeyValueResponse* response) {
        if (result.status == 200 && DecodeRevision(result.body, &response->number))
          response->status = KeyValueStatus::kOk;
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
        KeyValue row;
        if (result.status == 200 && DecodeKeyValue(result.body, &row)) {
          response->status = KeyValueStatus::kOk;
          response->found = true;
          response->entries.push_back(std::move(row));
        } else if (result.status == 404 && DecodeRevision(result.body, &response->number)) {
          response->status = KeyValueStatus::kOk;
        }
      },
      std::move(done));
}

void KeyValueClient::List(const std::string& prefix, const std::string& after, Done done) {
  std::string path = "/kv?starts=" + prefix + "&page=200";
  if (!after.empty()) path += "&from=" + after;
  Send(
      {"GET", path, "", kTimeout}, 2,
      [](const HttpResult& result, KeyValueResponse* response) {
        if (result.status == 200 && DecodeKeyValues(result.body, &response->entries,
                                                    &response->truncated, &response->number)) {
          response->status = KeyValueStatus::kOk;
        }
      },
      std::move(done));
}

void KeyValueClient::GrantLease(int ttl_ms, Done done) {
  Send(
      {"POST", "/grants", EncodeLeaseGrant(ttl_ms), kTimeout}, 1,
      [](const HttpResult& result, KeyValueResponse* response) {
        if (result.status == 200 && DecodeLeaseGrant(result.body, &response->number))
          response->status = KeyValueStatus::kOk;
      },
      std::move(done));
}

void KeyValueClient::KeepAliveLease(uint64_t lease, double timeout_s, Done done) {
  Send(
      {"POST", "/grants/" + std::to_string(lease) + "/extend", "{}", timeout_s},
      -rps_ * kKeepAliveOverdraftShare,
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
        if (result.status == 200 && DecodeRevision(result.body, &response->number))
          response->status = KeyValueStatus::kOk;
        if (result.status == 410) response->status = KeyValueStatus::kConflict;
      },
      std::move(done));
}

double KeyValueClient::AvailableWriteTokens() { return writes_.Level(clock_->Now()); }

}  // namespace deckhall
