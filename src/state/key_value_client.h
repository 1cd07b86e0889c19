// HTTP client of the state service that stays within its rate limits (PROTOCOL, "Controller nodes
// -> state service").
//
// Guarantees: two token buckets, for requests and for puts, keep this node below the limits of the
// state service; a request beyond them is refused locally as kUnavailable. Lower-priority requests
// leave reserve tokens to those of higher priority. `done` is never called from within the call
// itself.
//
// All calls are made on the event loop's thread. Owned by the process.
#pragma once

#include <algorithm>
#include <string>

#include "net/clock.h"
#include "net/deferred_calls.h"
#include "net/http_client.h"
#include "net/token_bucket.h"
#include "state/key_value_store.h"

namespace deckhall {

// The burst of the write token bucket, in puts, for a limit of `write_rps` puts per second. It is
// less than the burst of one second that the state service allows, as the controllers share it.
inline double WriteBurst(double write_rps) {
  constexpr double kMinWriteBurst = 2.0;
  constexpr double kWriteBurstShare = 0.8;
  return std::max(kMinWriteBurst, write_rps * kWriteBurstShare);
}

class KeyValueClient : public KeyValueStore {
 public:
  // `rps` and `write_rps` are the limits of the state service for all controllers together, in
  // requests per second and in puts per second.
  KeyValueClient(Loop* loop, const Clock* clock, Endpoint endpoint, double rps, double write_rps);

  void Commit(const Transaction& transaction, Done done) override;
  void Get(const std::string& key, Done done) override;
  void List(const std::string& prefix, const std::string& after, Done done) override;
  void GrantLease(int ttl_ms, Done done) override;
  void KeepAliveLease(uint64_t lease, double timeout_s, Done done) override;
  void RevokeLease(uint64_t lease, Done done) override;
  void Watch(const std::string& prefix, uint64_t after, int hold_ms, Done done) override;
  double AvailableWriteTokens() override;

 private:
  // Decodes the HTTP result of a request that was executed or rejected.
  using Reader = std::function<void(const HttpResult&, KeyValueResponse*)>;
  // Sends the request if that leaves `reserve_tokens` request tokens; a negative value allows an
  // overdraft.
  void Send(const HttpCall& call, double reserve_tokens, Reader reader, Done done);
  KeyValueResponse ReadResult(const HttpResult& result, const std::string& request,
                              const Reader& reader);
  // Completes a request beyond a rate limit with kUnavailable, later from the event loop.
  void RefuseLater(Done done);

  const Clock* clock_;
  Endpoint endpoint_;
  TokenBucket request_tokens_;
  TokenBucket write_tokens_;
  double smoothed_commit_s_ = 0.05;  // moving average of the duration of a commit
  double rps_;
  HttpClient http_;
  DeferredCalls refused_calls_;
};

}  // namespace deckhall
