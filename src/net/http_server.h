// HTTP server: one request at a time on each connection, answers may come later.
#pragma once

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/tcp.h"
#include "wire/http_parser.h"

namespace deckhall {

struct HttpAnswer {
  int status = 200;
  std::string body;
  int retry_after_s = 0;
  std::string allow;
  bool close = false;
};

struct HttpServerLimits {
  size_t connections = 1000;
  size_t head_bytes = 16 << 10;
  size_t body_bytes = 64 << 10;
  double request_s = 10;  // from a request's first byte to its last
  double idle_s = 120;    // between requests
  double answer_s = 20;   // a reader slower than this is cut off
};

class HttpServer {
 public:
  using Reply = std::function<void(HttpAnswer)>;
  // The reply may be called at once or later, from the loop; calls after the
  // connection is gone do nothing.
  using Handler = std::function<void(HttpMessage, Reply)>;

  HttpServer(Loop* loop, const Endpoint& at, HttpServerLimits limits, Handler handler);

  size_t connections() const { return conns_.size(); }
  // Connections that were pushed out by newer ones, or refused.
  uint64_t pushed_out() const { return pushed_out_; }

 private:
  struct Conn {
    uint64_t id = 0;
    std::unique_ptr<TcpConn> tcp;
    HttpParser parser;
    bool busy = false;
    bool closing = false;
    bool keep_alive = true;
    double since = 0;               // when the present stage began
    std::list<Conn*>::iterator at;  // in idle_, while not busy
    explicit Conn(const HttpServerLimits& l)
        : parser(HttpParser::Kind::kRequest, l.head_bytes, l.body_bytes) {}
  };

  void Accepted(std::unique_ptr<TcpConn> tcp);
  void OnData(Conn* c, std::string_view bytes);
  void Handle(Conn* c, HttpParser::Result result);
  void Answer(Conn* c, const HttpAnswer& answer);
  void Drop(uint64_t id);
  void Sweep();
  // A stage begins now in which it waits for its client.
  void Idle(Conn* c);
  void Busy(Conn* c);

  Loop* loop_;
  HttpServerLimits limits_;
  Handler handler_;
  uint64_t next_id_ = 1;
  std::unordered_map<uint64_t, std::unique_ptr<Conn>> conns_;
  // Those that wait for their client, the longest first: with a full table the one to
  // go is found without a walk.
  std::list<Conn*> idle_;
  uint64_t pushed_out_ = 0;
  double told_full_at_ = -1e9;
  std::vector<std::unique_ptr<Conn>> dropped_;  // destroyed from the loop
  Timer reaper_;
  Timer sweeper_;
  TcpListener listener_;
};

}  // namespace deckhall
