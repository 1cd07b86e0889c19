// Stand-in of the state service (PROTOCOL, "Controller nodes -> state service"), with one address
// for each controller, so that it can refuse one of them alone.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "net.h"
#include "net/http_server.h"

namespace review {

class StateService {
 public:
  // How the requests that arrive at one address are treated.
  struct Door {
    double refused_until = -1;     // 503, not executed
    double late_share = 0;         // of the transactions: no answer, executed 2 to 12 s later
    double lost_answer_share = 0;  // of the transactions: executed at once, no answer
  };

  struct Limits {
    double rps = 250;
    double write_rps = 40;
    double value_kb = 16;
    size_t txn_ops = 32;
  };

  explicit StateService(Loop* loop, uint64_t seed = 1);

  // In force from now on, without notice.
  void SetLimits(const Limits& limits) { limits_ = limits; }
  uint64_t rejected() const { return rejected_; }
  uint64_t throttled() const { return throttled_; }

  // Adds an address and returns its index.
  size_t AddDoor();
  const Endpoint& endpoint(size_t door) const { return doors_[door]->endpoint; }
  Door& door(size_t index) { return doors_[index]->door; }
  // Refuses everybody until then; afterwards each lease has its full time.
  void SetOutageUntil(double until) { outage_until_ = until; }
  // Label of the controller that holds the leader key; empty if there is none.
  std::string Leader() const;
  uint64_t LeaderTerm() const;
  std::string ValueOf(const std::string& key) const;

 private:
  struct OpenDoor {
    Door door;
    Endpoint endpoint;
    std::unique_ptr<deckhall::HttpServer> server;
  };
  struct Entry {
    std::string value;
    uint64_t version = 0;
    uint64_t lease = 0;
  };
  struct Lease {
    double ttl_s = 0;
    double expires_at = 0;
  };
  struct Watch {
    size_t door = 0;
    std::string prefix;
    uint64_t after = 0;
    double until = 0;
    deckhall::HttpServer::Reply reply;
  };
  struct Change {
    uint64_t revision = 0;
    std::string key;
    std::string value;  // empty if the key was removed
  };
  struct LateTransaction {
    double at = 0;
    std::string body;
  };

  void Handle(size_t door, const deckhall::HttpMessage& request,
              const deckhall::HttpServer::Reply& reply);
  deckhall::HttpResponse Get(const std::string& key) const;
  deckhall::HttpResponse List(const std::string& target) const;
  deckhall::HttpResponse Commit(const std::string& body);
  deckhall::HttpResponse HandleGrants(const deckhall::HttpMessage& request);
  void EndLease(uint64_t lease);
  void Tick();
  bool IsOut(size_t door) const;
  std::string Revision() const { return "{\"marea\":" + std::to_string(revision_) + "}"; }

  Loop* loop_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<OpenDoor>> doors_;
  std::map<std::string, Entry> keys_;
  std::vector<Change> changes_;
  std::map<uint64_t, Lease> leases_;
  std::vector<Watch> watches_;
  std::vector<LateTransaction> late_;
  bool Take(double* level, double* at, double rate, double amount);

  Limits limits_;
  double request_level_ = 0;
  double request_at_ = 0;
  double write_level_ = 0;
  double write_at_ = 0;
  uint64_t rejected_ = 0;
  uint64_t throttled_ = 0;
  uint64_t revision_ = 1;
  uint64_t next_lease_ = 1;
  double outage_until_ = -1;
  Timer ticker_;
};

}  // namespace review
