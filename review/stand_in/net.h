// Small additions to the project's src/net for the stand-ins: free ports, and a TCP proxy that can
// refuse, hold back or reset.
#pragma once

#include <list>
#include <memory>
#include <string>

#include "net/loop.h"
#include "net/tcp.h"

namespace review {

using deckhall::Endpoint;
using deckhall::Loop;
using deckhall::SteadySeconds;
using deckhall::TcpConn;
using deckhall::TcpListener;
using deckhall::Timer;

// A loopback address with a port that is free and outside the range of ephemeral ports.
Endpoint FreeEndpoint();

// Forwards connections to `target`. While a direction is held, its bytes are kept and delivered in
// order once it is released. While connections are refused, nothing listens at the address.
class Proxy {
 public:
  Proxy(Loop* loop, Endpoint target);

  const Endpoint& endpoint() const { return endpoint_; }
  // Resets the open connections and refuses new ones, or accepts connections again.
  void Refuse(bool refuse);
  void HoldToServer(bool hold);
  void HoldToClient(bool hold);
  // Begins to hold both directions as soon as the next bytes for the server have passed.
  void CutAfterNextRequest() { cut_after_request_ = true; }
  bool holds() const { return hold_to_server_ || hold_to_client_; }

 private:
  struct Pair {
    std::unique_ptr<TcpConn> client;
    std::unique_ptr<TcpConn> server;
    std::string held_to_server;
    std::string held_to_client;
    bool client_closed = false;
    bool server_closed = false;
    bool dead = false;
  };

  void Listen();
  void Accept(std::unique_ptr<TcpConn> tcp);
  void Release();
  void Sweep();

  Loop* loop_;
  Endpoint target_;
  Endpoint endpoint_;
  bool hold_to_server_ = false;
  bool hold_to_client_ = false;
  bool cut_after_request_ = false;
  std::list<std::unique_ptr<Pair>> pairs_;
  Timer sweeper_;
  std::unique_ptr<TcpListener> listener_;
};

}  // namespace review
