// Fake of the state service with real connections on the loopback interface: keys, transactions,
// leases and watches as described in PROTOCOL.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "net/http_server.h"
#include "net/loop.h"
#include "wire/json.h"

namespace deckhall {

// Returns a port on the loopback address that was free when it was probed.
Endpoint FreeEndpoint(const std::string& host);

class LoopbackState {
 public:
  LoopbackState(Loop* loop, const Endpoint& at);

  // Responds 503 to all requests but watches until `until` on the monotonic clock. Afterwards
  // leases have their full time to live.
  void SetUnavailableUntil(double until);
  // The label of the controller that holds the leader key; empty if there is none.
  std::string Leader() const;

 private:
  struct Entry {
    std::string value;
    uint64_t version = 0;
    uint64_t lease = 0;
  };
  struct Lease {
    double ttl_s = 0;
    double expires_at = 0;
  };
  struct PendingWatch {
    std::string prefix;
    uint64_t after = 0;
    double until = 0;
    HttpServer::Reply reply;
  };

  void Handle(const HttpMessage& request, const HttpServer::Reply& reply);
  HttpResponse Get(const std::string& key) const;
  HttpResponse List(const std::string& prefix, const std::string& after, size_t page) const;
  HttpResponse Commit(const std::string& body);
  HttpResponse HandleLeases(const HttpMessage& request);
  void EndLease(uint64_t lease);
  void Tick();
  bool ChangedAfter(const std::string& prefix, uint64_t revision) const;
  std::string Revision() const;

  std::map<std::string, Entry> keys_;
  std::map<std::string, uint64_t> changed_at_;  // last revision by key, including removed keys
  std::map<uint64_t, Lease> leases_;
  std::vector<PendingWatch> pending_watches_;
  uint64_t revision_ = 1;
  uint64_t next_lease_ = 1;
  double unavailable_until_ = -1;
  Timer ticker_;
  HttpServer server_;
};

}  // namespace deckhall
