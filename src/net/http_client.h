// HTTP client with a connection pool and a timeout for each request.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/deferred_calls.h"
#include "net/deferred_deletion.h"
#include "net/tcp.h"
#include "wire/http_parser.h"

namespace deckhall {

struct HttpResult {
  int status = 0;     // 0 without a valid response; the request may have been executed
  bool sent = false;  // false only if the request cannot have reached the server
  int retry_after_s = 0;
  std::string body;
};

struct HttpCall {
  std::string method;
  std::string path;
  std::string body;
  double timeout_s = 2;
};

class HttpClient {
 public:
  using Done = std::function<void(HttpResult)>;

  HttpClient(Loop* loop, size_t max_connections, size_t max_body_bytes)
      : loop_(loop),
        max_connections_(max_connections),
        max_body_bytes_(max_body_bytes),
        dropped_(loop),
        failed_calls_(loop, kFailureDelaySeconds) {}

  // Calls `done` exactly once, from the loop and never from within Call.
  void Call(const Endpoint& to, const HttpCall& call, Done done);
  // Closes connections that have been idle for at least `idle_s` seconds.
  void CloseIdleConnections(double idle_s);
  size_t connections() const { return conns_.size(); }

 private:
  static constexpr double kFailureDelaySeconds = 0.001;

  struct Conn {
    uint64_t id = 0;
    std::string peer;
    std::unique_ptr<TcpConn> tcp;
    HttpParser parser;
    std::unique_ptr<Timer> timer;
    Done done;
    double idle_since = 0;
    bool used_before = false;
    explicit Conn(size_t max_body_bytes)
        : parser(HttpParser::Kind::kResponse, 16 << 10, max_body_bytes) {}
  };

  void Send(Conn* c, const HttpCall& call, Done done);
  void OnData(Conn* c, std::string_view bytes);
  void Fail(Conn* c);
  void Drop(Conn* c);
  void DropOldestIdle();

  Loop* loop_;
  size_t max_connections_;
  size_t max_body_bytes_;
  uint64_t next_id_ = 1;
  std::unordered_map<uint64_t, std::unique_ptr<Conn>> conns_;
  std::unordered_map<std::string, std::vector<Conn*>> idle_;
  DeferredDeletion<Conn> dropped_;
  DeferredCalls failed_calls_;  // without a connection
};

}  // namespace deckhall
