// Non-blocking TCP connections and listeners.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/loop.h"

namespace deckhall {

struct Endpoint {
  std::string host;  // dotted IPv4
  uint16_t port = 0;
  std::string Text() const { return host + ":" + std::to_string(port); }
};

bool ParseEndpoint(std::string_view text, Endpoint* out);

// One connection. Its owner destroys it; after on_close nothing more comes.
// Neither callback is called from within Send or Connect. The owner may destroy
// the connection from within either callback.
class TcpConn {
 public:
  using DataFn = std::function<void(std::string_view)>;
  using CloseFn = std::function<void()>;

  // Takes an accepted descriptor.
  TcpConn(Loop* loop, int fd);
  ~TcpConn();
  TcpConn(const TcpConn&) = delete;
  TcpConn& operator=(const TcpConn&) = delete;

  // Null when no socket can be had.
  static std::unique_ptr<TcpConn> Connect(Loop* loop, const Endpoint& to);

  void SetCallbacks(DataFn on_data, CloseFn on_close);
  void Send(std::string_view bytes);
  // Nothing is called any more; for owners that destroy it a little later.
  void Abandon();
  void PauseReading(bool pause);
  // Stops reading and closes when everything sent has left.
  void CloseAfterSend();
  size_t unsent() const { return out_.size() - out_at_; }
  // False while the connection attempt goes on.
  bool connected() const { return connected_; }

 private:
  void OnIo(bool readable, bool writable);
  bool Flush();
  void Closed();
  void Update();

  int fd_;
  bool connected_ = true;
  bool paused_ = false;
  bool closing_ = false;
  bool dead_ = false;
  std::string out_;
  size_t out_at_ = 0;
  DataFn on_data_;
  CloseFn on_close_;
  IoWatch watch_;
  Timer closer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

class TcpListener {
 public:
  using AcceptFn = std::function<void(std::unique_ptr<TcpConn>)>;

  // Throws std::runtime_error when the address can't be used.
  TcpListener(Loop* loop, const Endpoint& at, AcceptFn on_accept);
  ~TcpListener();
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

 private:
  void OnReadable();

  Loop* loop_;
  int fd_;
  AcceptFn on_accept_;
  IoWatch watch_;
  Timer retry_;
};

}  // namespace deckhall
