// Non-blocking TCP connections and listeners.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "net/loop.h"

namespace deckhall {

struct Endpoint {
  std::string host;  // dotted IPv4 address
  uint16_t port = 0;
  std::string Text() const { return host + ":" + std::to_string(port); }
};

bool ParseEndpoint(std::string_view text, Endpoint* out);

// TCP connection. Callbacks are never called from within Send or Connect, and no callback follows
// on_close. The owner destroys the connection and may do so from within either callback.
class TcpConn {
 public:
  using DataFn = std::function<void(std::string_view)>;
  using CloseFn = std::function<void()>;

  // Takes ownership of the descriptor of an accepted connection.
  TcpConn(Loop* loop, int fd);
  ~TcpConn();
  TcpConn(const TcpConn&) = delete;
  TcpConn& operator=(const TcpConn&) = delete;

  // Returns null if the address is invalid, no socket is available or connecting fails at once.
  static std::unique_ptr<TcpConn> Connect(Loop* loop, const Endpoint& to);

  void SetCallbacks(DataFn on_data, CloseFn on_close);
  void Send(std::string_view bytes);
  // Stops all callbacks, for owners that destroy the connection later.
  void Abandon();
  void PauseReading(bool pause);
  // Discards further input, sends the pending output and closes the connection, after 1 s at the
  // latest.
  void CloseAfterSend();
  size_t unsent() const { return send_buffer_.size() - send_offset_; }
  // False until the connection is established.
  bool connected() const { return connected_; }

 private:
  void OnIo(bool readable, bool writable);
  bool Flush();
  void OnClosed();
  void UpdateWatchedEvents();

  int fd_;
  bool connected_ = true;
  bool paused_ = false;
  bool closing_ = false;
  bool closed_ = false;
  std::string send_buffer_;
  size_t send_offset_ = 0;
  DataFn on_data_;
  CloseFn on_close_;
  IoWatcher watch_;
  Timer close_timer_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

class TcpListener {
 public:
  using AcceptFn = std::function<void(std::unique_ptr<TcpConn>)>;

  // Throws std::runtime_error if it cannot listen on the address.
  TcpListener(Loop* loop, const Endpoint& at, AcceptFn on_accept);
  ~TcpListener();
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

 private:
  void OnReadable();

  Loop* loop_;
  int fd_;
  AcceptFn on_accept_;
  IoWatcher watch_;
  Timer retry_;
};

}  // namespace deckhall
