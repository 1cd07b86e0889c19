// A stand-in for the state service, over real connections on the loopback interface: keys,
// transactions, leases and watches as PROTOCOL describes them.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "net/http_server.h"
#include "net/loop.h"
#include "wire/json.h"

namespace deckhall {

// A port on that loopback address which was free a moment ago.
Endpoint FreeEndpoint(const std::string& host);

class LoopbackState {
 public:
  LoopbackState(Loop* loop, const Endpoint& at);

  // Answers 503 to everything until then, by the steady clock. Leases have their full time after.
  void OutUntil(double t);
  // The label of whoever holds the key of the leader; empty: nobody.
  std::string Leader() const;

 private:
  struct Entry {
    std::string value;
    uint64_t version = 0;
    uint64_t lease = 0;
  };
  struct Lease {
    double ttl_s = 0;
    double until = 0;
  };
  struct Follower {
    std::string prefix;
    uint64_t after = 0;
    double until = 0;
    HttpServer::Reply reply;
  };

  void Handle(const HttpMessage& request, const HttpServer::Reply& reply);
  HttpResponse Get(const std::string& key) const;
  HttpResponse List(const std::string& prefix, const std::string& after, size_t page) const;
  HttpResponse Commit(const std::string& body);
  HttpResponse Grants(const HttpMessage& request);
  void EndLease(uint64_t lease);
  void Tick();
  bool ChangedAfter(const std::string& prefix, uint64_t revision) const;
  std::string Revision() const;

  std::map<std::string, Entry> keys_;
  std::map<std::string, uint64_t> changed_at_;  // removed keys included
  std::map<uint64_t, Lease> leases_;
  std::vector<Follower> followers_;
  uint64_t revision_ = 1;
  uint64_t next_lease_ = 1;
  double out_until_ = -1;
  Timer ticker_;
  HttpServer server_;
};

}  // namespace deckhall
