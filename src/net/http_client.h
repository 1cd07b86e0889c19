// HTTP client with pooled connections and a deadline for every request.
#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "net/tcp.h"
#include "wire/http_parser.h"

namespace deckhall {

struct HttpResult {
  int status = 0;     // 0: no usable answer; the request may or may not be carried out
  bool sent = false;  // false only if nothing can have reached the other side
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

  HttpClient(Loop* loop, size_t max_connections, size_t max_body)
      : loop_(loop),
        max_connections_(max_connections),
        max_body_(max_body),
        reaper_(loop, [this] { dropped_.clear(); }) {}

  // `done` is called once, from the loop, never from within Call.
  void Call(const Endpoint& to, const HttpCall& call, Done done);
  // Closes idle connections that were not used for a while.
  void Trim(double idle_s);
  size_t connections() const { return conns_.size(); }

 private:
  struct Conn {
    uint64_t id = 0;
    std::string peer;
    std::unique_ptr<TcpConn> tcp;
    HttpParser parser;
    std::unique_ptr<Timer> timer;
    Done done;
    double idle_since = 0;
    bool used_before = false;
    explicit Conn(size_t max_body) : parser(HttpParser::Kind::kResponse, 16 << 10, max_body) {}
  };

  void Send(Conn* c, const HttpCall& call, Done done);
  void OnData(Conn* c, std::string_view bytes);
  void Fail(Conn* c);
  void Drop(Conn* c);
  void Later(Done done, HttpResult result);
  void DropOldestIdle();

  Loop* loop_;
  size_t max_connections_;
  size_t max_body_;
  uint64_t next_id_ = 1;
  std::unordered_map<uint64_t, std::unique_ptr<Conn>> conns_;
  std::unordered_map<std::string, std::vector<Conn*>> idle_;
  std::vector<std::unique_ptr<Conn>> dropped_;
  std::vector<std::unique_ptr<Timer>> later_;
  Timer reaper_;
};

}  // namespace deckhall
