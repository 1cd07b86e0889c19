#include "state/key_value_client.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <optional>
#include <utility>

#include "net/http_status.h"

namespace deckhall {
namespace {

constexpr double kRequestTimeoutSeconds = 2.0;
// A commit times out after this multiple of the average duration, but not before the minimum below.
constexpr double kSlowCommitFactor = 4;
constexpr double kMinCommitTimeoutSeconds = 0.4;
// Weight of the latest commit in the moving average of the duration.
constexpr double kCommitSmoothing = 0.1;
constexpr size_t kMaxResponseBytes = 4 << 20;
constexpr size_t kMaxConnections = 16;
// Shares of the state service's limits that one controller uses, for the rate and for the burst.
// The controllers share the limits, and the leader needs most of each.
constexpr double kRequestRateShare = 0.7;
constexpr double kRequestBurstShare = 0.6;
constexpr double kMinRequestBurst = 4.0;
constexpr double kWriteRateShare = 0.85;
// Overdraft of request tokens for a lease renewal, as a share of the limit: leadership depends on
// the renewal.
constexpr double kKeepAliveOverdraftShare = 0.1;
constexpr double kRefusalDelaySeconds = 0.02;

// Request tokens that a call leaves for calls of higher priority.
constexpr double kOrdinaryReserveTokens = 2;
constexpr double kLeaseReserveTokens = 1;
// A watch times out this long after the state service should have responded.
constexpr double kWatchMarginSeconds = 3;

// Marks the response as kOk if a revision or a lease id was decoded.
void SetRevisionOrLease(std::optional<uint64_t> revision_or_lease, KeyValueResponse* response) {
  if (!revision_or_lease) return;
  response->status = KeyValueStatus::kOk;
  response->revision_or_lease = *revision_or_lease;
}

}  // namespace

KeyValueClient::KeyValueClient(Loop* loop, const Clock* clock, Endpoint endpoint, double rps,
                               double write_rps)
    : clock_(clock),
      endpoint_(std::move(endpoint)),
      request_tokens_(rps * kRequestRateShare,
                      std::max(kMinRequestBurst, rps * kRequestBurstShare)),
      write_tokens_(write_rps * kWriteRateShare, WriteBurst(write_rps)),
      rps_(rps),
      http_(loop, kMaxConnections, kMaxResponseBytes),
      refused_calls_(loop, kRefusalDelaySeconds) {}

void KeyValueClient::RefuseLater(Done done) {
  refused_calls_.Add([done = std::move(done)] {
    KeyValueResponse response;
    response.status = KeyValueStatus::kUnavailable;
    done(response);
  });
}

void KeyValueClient::Send(const HttpCall& call, double reserve_tokens, Reader reader, Done done) {
  if (!request_tokens_.Take(clock_->Now(), 1, reserve_tokens)) {
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
  if (result.status == http_status::kTooManyRequests ||
      result.status == http_status::kServiceUnavailable) {
    response.status = KeyValueStatus::kUnavailable;
    if (result.status == http_status::kTooManyRequests) request_tokens_.Drain();
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
  // May overdraw the bucket, as a transaction with more puts than the burst could otherwise never
  // be sent.
  if (!write_tokens_.Take(clock_->Now(), puts, -puts)) {
    RefuseLater(std::move(done));
    return;
  }
  // A commit that takes far longer than the average times out, as sending it again with the same
  // preconditions confirms its durability sooner.
  const double timeout_s = std::clamp(kSlowCommitFactor * smoothed_commit_s_,
                                      kMinCommitTimeoutSeconds, kRequestTimeoutSeconds);
  const double sent_at = clock_->Now();
  Send(
      {"POST", "/txn", EncodeTransaction(transaction), timeout_s}, kOrdinaryReserveTokens,
      [](const HttpResult& result, KeyValueResponse* response) {
        if (result.status == http_status::kOk)
          SetRevisionOrLease(DecodeRevision(result.body), response);
        if (result.status == http_status::kConflict) response->status = KeyValueStatus::kConflict;
        if (result.status == http_status::kBadRequest) {
          response->status = KeyValueStatus::kInvalid;
          spdlog::warn("transaction rejected by the state service: {}", result.body);
        }
      },
      [this, sent_at, done = std::move(done)](const KeyValueResponse& response) {
        if (response.status != KeyValueStatus::kUnavailable) {
          smoothed_commit_s_ += kCommitSmoothing * (clock_->Now() - sent_at - smoothed_commit_s_);
        }
        done(response);
      });
}

void KeyValueClient::Get(const std::string& key, Done done) {
  Send(
      {"GET", "/kv/" + key, "", kRequestTimeoutSeconds}, kOrdinaryReserveTokens,
      [](const HttpResult& result, KeyValueResponse* response) {
        if (result.status == http_status::kNotFound)
          SetRevisionOrLease(DecodeRevision(result.body), response);
        if (result.status != http_status::kOk) return;
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
      {"GET", path, "", kRequestTimeoutSeconds}, kOrdinaryReserveTokens,
      [](const HttpResult& result, KeyValueResponse* response) {
        if (result.status != http_status::kOk) return;
        std::optional<KeyValuePage> page = DecodeKeyValues(result.body);
        if (!page) return;
        response->status = KeyValueStatus::kOk;
        response->revision_or_lease = page->revision;
        response->truncated = page->truncated;
        response->entries = std::move(page->entries);
      },
      std::move(done));
}

void KeyValueClient::GrantLease(int ttl_ms, Done done) {
  Send(
      {"POST", "/grants", EncodeLeaseGrant(ttl_ms), kRequestTimeoutSeconds}, kLeaseReserveTokens,
      [](const HttpResult& result, KeyValueResponse* response) {
        if (result.status == http_status::kOk)
          SetRevisionOrLease(DecodeLeaseGrant(result.body), response);
      },
      std::move(done));
}

void KeyValueClient::KeepAliveLease(uint64_t lease, double timeout_s, Done done) {
  Send(
      {"POST", "/grants/" + std::to_string(lease) + "/extend", "{}", timeout_s},
      -rps_ * kKeepAliveOverdraftShare,
      [](const HttpResult& result, KeyValueResponse* response) {
        if (result.status == http_status::kOk) response->status = KeyValueStatus::kOk;
        if (result.status == http_status::kNotFound) response->status = KeyValueStatus::kConflict;
      },
      std::move(done));
}

void KeyValueClient::RevokeLease(uint64_t lease, Done done) {
  Send(
      {"DELETE", "/grants/" + std::to_string(lease), "", kRequestTimeoutSeconds},
      kLeaseReserveTokens,
      [](const HttpResult& result, KeyValueResponse* response) {
        if (result.status == http_status::kOk || result.status == http_status::kNoContent)
          response->status = KeyValueStatus::kOk;
        if (result.status == http_status::kNotFound) response->status = KeyValueStatus::kConflict;
      },
      std::move(done));
}

void KeyValueClient::Watch(const std::string& prefix, uint64_t after, int hold_ms, Done done) {
  const std::string path = "/follow?starts=" + prefix + "&from=" + std::to_string(after) +
                           "&hold_ms=" + std::to_string(hold_ms);
  Send(
      {"GET", path, "", hold_ms / 1000.0 + kWatchMarginSeconds}, kOrdinaryReserveTokens,
      [](const HttpResult& result, KeyValueResponse* response) {
        if (result.status == http_status::kOk)
          SetRevisionOrLease(DecodeRevision(result.body), response);
        if (result.status == http_status::kGone) response->status = KeyValueStatus::kConflict;
      },
      std::move(done));
}

double KeyValueClient::AvailableWriteTokens() { return write_tokens_.Level(clock_->Now()); }

}  // namespace deckhall
