// Stand-in of the state service on loopback: keys, transactions, leases and watches as PROTOCOL
// describes them, with the limits of the settings.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "net/http_server.h"
#include "net/loop.h"
#include "wire/json.h"

namespace stage {

struct StateLimits {
  double value_kb = 16;
  size_t transaction_operations = 32;
  uint64_t first_revision = 1;
};

class StateService {
 public:
  StateService(deckhall::Loop* loop, const deckhall::Endpoint& at, const StateLimits& limits);

  // Stores a value as an earlier transaction did.
  void Preload(const std::string& key, const std::string& value);
  // The label of the controller that holds the leader key; empty if there is none.
  std::string Leader() const;

 private:
  struct Entry {
    std::string value;
    uint64_t revision = 0;
    uint64_t lease = 0;
  };
  struct Lease {
    double duration_s = 0;
    double ends_at = 0;
  };
  struct Watch {
    std::string prefix;
    uint64_t after = 0;
    double until = 0;
    deckhall::HttpServer::Reply reply;
  };

  void Handle(const deckhall::HttpMessage& request, const deckhall::HttpServer::Reply& reply);
  deckhall::HttpResponse Get(const std::string& key) const;
  deckhall::HttpResponse List(const std::string& target) const;
  deckhall::HttpResponse Commit(const std::string& body);
  // Whether the lease and the size of each write are valid.
  bool AreValid(const deckhall::JsonValue& writes, deckhall::HttpResponse* error) const;
  void Apply(const deckhall::JsonValue& writes);
  deckhall::HttpResponse HandleLease(const deckhall::HttpMessage& request);
  void EndLease(uint64_t lease);
  void Tick();
  bool HasChanged(const Watch& watch) const;
  std::string Revision() const;

  StateLimits limits_;
  std::map<std::string, Entry> entries_;
  std::map<std::string, uint64_t> changed_at_;  // removed keys included
  std::map<uint64_t, Lease> leases_;
  std::vector<Watch> watches_;
  uint64_t revision_;
  uint64_t next_lease_ = 1;
  deckhall::Timer ticker_;
  deckhall::HttpServer server_;
};

}  // namespace stage
