// HTTP server. Handles one request at a time on each connection and may respond asynchronously.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/deferred_deletion.h"
#include "net/tcp.h"
#include "wire/http_parser.h"
#include "wire/message_limits.h"

namespace deckhall {

struct HttpResponse {
  int status = 200;
  std::string body;
  int retry_after_s = 0;
  std::string allow;
  bool close = false;
};

struct HttpServerLimits {
  size_t connections = 1000;
  size_t head_bytes = 16 << 10;
  size_t body_bytes = kMaxMessageBytes;
  double request_timeout_s = 10;   // for receiving a whole request
  double idle_timeout_s = 120;     // between two requests
  double response_timeout_s = 20;  // for sending a whole response to a slow client
};

class HttpServer {
 public:
  using Reply = std::function<void(HttpResponse)>;
  // The handler calls the reply within its own call or later, from the loop. The reply has no
  // effect once the connection is closed.
  using Handler = std::function<void(HttpMessage, Reply)>;

  HttpServer(Loop* loop, const Endpoint& at, HttpServerLimits limits, Handler handler);

  size_t connections() const { return conns_.size(); }
  // Number of connections accepted at the connection limit: each one replaced an idle connection or
  // was closed.
  uint64_t over_limit_connections() const { return over_limit_connections_; }

 private:
  struct Conn {
    uint64_t id = 0;
    std::unique_ptr<TcpConn> tcp;
    HttpParser parser;
    bool busy = false;
    bool closing = false;
    bool keep_alive = true;
    double waiting_since = 0;                  // when it last began to wait for its client
    std::list<Conn*>::iterator idle_position;  // in idle_, unless busy
    explicit Conn(const HttpServerLimits& l)
        : parser(HttpParser::Kind::kRequest, l.head_bytes, l.body_bytes) {}
  };

  void OnAccept(std::unique_ptr<TcpConn> tcp);
  void OnData(Conn* c, std::string_view bytes);
  void Handle(Conn* c, HttpParser::Result result);
  // Logs some of the refusals, since any client can cause them.
  void LogRefusal(int status);
  void SendResponse(Conn* c, const HttpResponse& response);
  void Drop(uint64_t id);
  void CloseTimedOutConnections();
  // Marks the connection as waiting for its client, from now on.
  void MarkIdle(Conn* c);
  void MarkBusy(Conn* c);

  Loop* loop_;
  HttpServerLimits limits_;
  Handler handler_;
  uint64_t next_id_ = 1;
  std::unordered_map<uint64_t, std::unique_ptr<Conn>> conns_;
  // Connections that wait for their client, longest wait first, so that at the connection limit the
  // one to close is found in constant time.
  std::list<Conn*> idle_;
  uint64_t over_limit_connections_ = 0;
  double limit_logged_at_ = -1e9;
  double refusal_logged_at_ = -1e9;
  DeferredDeletion<Conn> dropped_;
  Timer timeout_timer_;
  TcpListener listener_;
};

}  // namespace deckhall
