// The state service over HTTP, within its rate limits (PROTOCOL, "Controller nodes -> state
// service").
//
// Guarantees: two token buckets, of requests and of puts, keep this node below the limits of the
// state service; a request beyond them is refused here as kUnavailable. Requests of higher
// importance may take tokens that others have to leave.
//
// Invariant: `done` is never called from within the call itself. One thread, that of the event
// loop. Owned by the process.
#pragma once

#include <algorithm>
#include <string>

#include "net/clock.h"
#include "net/http_client.h"
#include "net/token_bucket.h"
#include "state/key_value_store.h"

namespace deckhall {

// The burst of the write token bucket, in puts, for a limit of `write_rps` puts per second: less
// than the second's worth that the state service allows, as the controllers share the limit.
inline double WriteBurst(double write_rps) {
  constexpr double kMinWriteBurst = 2.0;
  constexpr double kWriteBurstShare = 0.8;
  return std::max(kMinWriteBurst, write_rps * kWriteBurstShare);
}

class KeyValueClient : public KeyValueStore {
 public:
  // `rps` and `write_rps` are the limits of the state service for all controllers together, in
  // requests and in puts per second.
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
  // Reads the result of a request that was executed or rejected into the response.
  using Reader = std::function<void(const HttpResult&, KeyValueResponse*)>;
  // Sends a request if that leaves `reserve` request tokens; a negative reserve is an overdraft.
  void Send(const HttpCall& call, double reserve, Reader reader, Done done);
  KeyValueResponse ReadResult(const HttpResult& result, const std::string& request,
                              const Reader& reader);
  // Responds kUnavailable to a request beyond a rate limit, from the event loop.
  void RefuseLater(Done done);
  void CompleteRefusedCalls();

  const Clock* clock_;
  Endpoint endpoint_;
  TokenBucket requests_;
  TokenBucket writes_;
  double smoothed_commit_s_ = 0.05;  // moving average of the duration of a commit
  double rps_;
  HttpClient http_;
  Timer refusal_timer_;
  std::vector<Done> refused_calls_;
};

}  // namespace deckhall
