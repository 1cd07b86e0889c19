// The state service over HTTP, within its rate limits.
#pragma once

#include <algorithm>
#include <string>

#include "net/clock.h"
#include "net/http_client.h"
#include "net/token_bucket.h"
#include "state/key_value_store.h"

namespace deckhall {

// Puts that may go out at once, of a limit for each second.
inline double WriteBurst(double write_rps) { return std::max(2.0, write_rps * 0.8); }

class KeyValueClient : public KeyValueStore {
 public:
  KeyValueClient(Loop* loop, const Clock* clock, Endpoint at, double rps, double write_rps);

  void Commit(const Transaction& transaction, Done done) override;
  void Get(const std::string& key, Done done) override;
  void List(const std::string& prefix, const std::string& after, Done done) override;
  void GrantLease(int ttl_ms, Done done) override;
  void KeepAliveLease(uint64_t lease, double timeout_s, Done done) override;
  void RevokeLease(uint64_t lease, Done done) override;
  void Watch(const std::string& prefix, uint64_t after, int hold_ms, Done done) override;
  double AvailableWriteTokens() override;

 private:
  using Reader = std::function<void(const HttpResult&, KeyValueResponse*)>;
  void Send(const HttpCall& call, double reserve, Reader reader, Done done);

  const Clock* clock_;
  Endpoint endpoint_;
  TokenBucket requests_;
  TokenBucket writes_;
  double smoothed_commit_s_ = 0.05;  // what a transaction takes, smoothed
  double rps_;
  HttpClient http_;
  Timer refusal_timer_;
  std::vector<Done> refused_calls_;
};

}  // namespace deckhall
