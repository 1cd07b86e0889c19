// The state service over HTTP, within its rate limits.
#pragma once

#include <algorithm>
#include <string>

#include "net/clock.h"
#include "net/http_client.h"
#include "net/token_bucket.h"
#include "state/state_port.h"

namespace deckhall {

// Puts that may go out at once, of a limit for each second.
inline double WriteBurst(double write_rps) { return std::max(2.0, write_rps * 0.8); }

class StateClient : public StatePort {
 public:
  StateClient(Loop* loop, const Clock* clock, Endpoint at, double rps, double write_rps);

  void Commit(const Transaction& txn, Done done) override;
  void Get(const std::string& key, Done done) override;
  void List(const std::string& prefix, const std::string& after, Done done) override;
  void Grant(int ttl_ms, Done done) override;
  void Extend(uint64_t lease, double timeout_s, Done done) override;
  void Drop(uint64_t lease, Done done) override;
  void Watch(const std::string& prefix, uint64_t after, int hold_ms, Done done) override;
  double WriteRoom() override;

 private:
  using Reader = std::function<void(const HttpResult&, StateAnswer*)>;
  void Ask(const HttpCall& call, double reserve, Reader reader, Done done);

  const Clock* clock_;
  Endpoint at_;
  TokenBucket requests_;
  TokenBucket writes_;
  double commit_s_ = 0.05;  // what a transaction takes, smoothed
  double rps_;
  HttpClient http_;
  Timer refuse_;
  std::vector<Done> refused_;
};

}  // namespace deckhall
