#include "net/tcp.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <charconv>
#include <cstring>
#include <stdexcept>
#include <system_error>

namespace deckhall {
namespace {

bool ToSockaddr(const Endpoint& e, sockaddr_in* out) {
  *out = sockaddr_in{};
  out->sin_family = AF_INET;
  out->sin_port = htons(e.port);
  return inet_pton(AF_INET, e.host.c_str(), &out->sin_addr) == 1;
}

void SetNoDelay(int fd) {
  const int one = 1;
  (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

int OpenListener(const Endpoint& at) {
  sockaddr_in addr{};
  if (!ToSockaddr(at, &addr)) throw std::runtime_error("invalid listen address " + at.Text());
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) throw std::runtime_error("cannot create a socket for " + at.Text());
  const int one = 1;
  (void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind(fd, reinterpret_cast<sockaddr*>(&addr), sizeof addr) != 0 || listen(fd, 512) != 0) {
    const int error_number = errno;
    close(fd);
    throw std::runtime_error("cannot listen on " + at.Text() + ": " +
                             std::generic_category().message(error_number));
  }
  return fd;
}

}  // namespace

bool ParseEndpoint(std::string_view text, Endpoint* out) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos || colon == 0) return false;
  const std::string_view port = text.substr(colon + 1);
  unsigned value = 0;
  auto [end, err] = std::from_chars(port.data(), port.data() + port.size(), value);
  if (err != std::errc() || end != port.data() + port.size() || value == 0 || value > 65535) {
    return false;
  }
  out->host = text.substr(0, colon);
  out->port = static_cast<uint16_t>(value);
  sockaddr_in address{};
  return ToSockaddr(*out, &address);
}

TcpConn::TcpConn(Loop* loop, int fd)
    : fd_(fd),
      watch_(loop, fd, [this](bool r, bool w) { OnIo(r, w); }),
      close_timer_(loop, [this] { OnClosed(); }) {
  SetNoDelay(fd);
}

TcpConn::~TcpConn() {
  *alive_ = false;
  watch_.WatchFor(false, false);
  if (fd_ >= 0) close(fd_);
}

std::unique_ptr<TcpConn> TcpConn::Connect(Loop* loop, const Endpoint& to) {
  sockaddr_in addr{};
  if (!ToSockaddr(to, &addr)) return nullptr;
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return nullptr;
  if (connect(fd, reinterpret_cast<sockaddr*>(&addr), sizeof addr) != 0 && errno != EINPROGRESS) {
    close(fd);
    return nullptr;
  }
  auto conn = std::make_unique<TcpConn>(loop, fd);
  conn->connected_ = false;
  return conn;
}

void TcpConn::SetCallbacks(DataFn on_data, CloseFn on_close) {
  on_data_ = std::move(on_data);
  on_close_ = std::move(on_close);
  UpdateWatchedEvents();
}

void TcpConn::UpdateWatchedEvents() {
  if (closed_) return;
  if (!connected_) {
    watch_.WatchFor(false, true);
    return;
  }
  watch_.WatchFor(!paused_ || closing_, send_offset_ < send_buffer_.size());
}

void TcpConn::Send(std::string_view bytes) {
  if (closed_ || closing_) return;
  if (send_offset_ == send_buffer_.size()) {
    send_buffer_.clear();
    send_offset_ = 0;
  }
  send_buffer_.append(bytes);
  if (connected_ && !Flush()) {
    // The loop calls on_close, because Send must not.
    closed_ = true;
    watch_.WatchFor(false, false);
    close_timer_.Start(0);
    return;
  }
  UpdateWatchedEvents();
}

bool TcpConn::Flush() {
  while (send_offset_ < send_buffer_.size()) {
    const ssize_t n = send(fd_, send_buffer_.data() + send_offset_,
                           send_buffer_.size() - send_offset_, MSG_NOSIGNAL);
    if (n > 0) {
      send_offset_ += static_cast<size_t>(n);
    } else if (n < 0 && errno == EINTR) {
      continue;
    } else {
      return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }
  }
  send_buffer_.clear();
  send_offset_ = 0;
  return true;
}

void TcpConn::Abandon() {
  closed_ = true;
  watch_.WatchFor(false, false);
  close_timer_.Stop();
}

void TcpConn::PauseReading(bool pause) {
  paused_ = pause;
  UpdateWatchedEvents();
}

void TcpConn::CloseAfterSend() {
  if (closed_ || closing_) return;
  closing_ = true;
  if (unsent() == 0) (void)shutdown(fd_, SHUT_WR);
  // Gives the peer time to read the response: after a reset it could lose unread data.
  close_timer_.Start(1.0);
  UpdateWatchedEvents();
}

void TcpConn::OnIo(bool readable, bool writable) {
  const std::weak_ptr<bool> alive = alive_;
  if (writable) {
    if (!connected_) {
      int err = 0;
      socklen_t len = sizeof err;
      if (getsockopt(fd_, SOL_SOCKET, SO_ERROR, &err, &len) != 0 || err != 0) {
        OnClosed();
        return;
      }
      connected_ = true;
    }
    if (!Flush()) {
      OnClosed();
      return;
    }
    if (closing_ && unsent() == 0) (void)shutdown(fd_, SHUT_WR);
  }
  if (readable) {
    char buffer[16384];
    for (int read_count = 0; read_count < 4; ++read_count) {
      const ssize_t n = recv(fd_, buffer, sizeof buffer, 0);
      if (n > 0) {
        if (!closing_ && on_data_) {
          on_data_(std::string_view(buffer, static_cast<size_t>(n)));
          if (alive.expired() || closed_) return;
        }
        if (static_cast<size_t>(n) < sizeof buffer || paused_) break;
      } else if (n < 0 && errno == EINTR) {
        continue;
      } else if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
        break;
      } else {
        OnClosed();
        return;
      }
    }
  }
  UpdateWatchedEvents();
}

void TcpConn::OnClosed() {
  closed_ = true;
  watch_.WatchFor(false, false);
  close_timer_.Stop();
  if (on_close_) {
    CloseFn fn = std::move(on_close_);
    on_close_ = nullptr;
    fn();
  }
}

TcpListener::TcpListener(Loop* loop, const Endpoint& at, AcceptFn on_accept)
    : loop_(loop),
      fd_(OpenListener(at)),
      on_accept_(std::move(on_accept)),
      watch_(loop, fd_, [this](bool, bool) { OnReadable(); }),
      retry_(loop, [this] { watch_.WatchFor(true, false); }) {
  watch_.WatchFor(true, false);
}

TcpListener::~TcpListener() {
  watch_.WatchFor(false, false);
  close(fd_);
}

void TcpListener::OnReadable() {
  for (int i = 0; i < 64; ++i) {
    const int fd = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      if (errno == EINTR || errno == ECONNABORTED) continue;
      if (errno != EAGAIN && errno != EWOULDBLOCK) {
        // For example no free descriptors: retries after a pause, to avoid a busy loop.
        watch_.WatchFor(false, false);
        retry_.Start(0.1);
      }
      return;
    }
    on_accept_(std::make_unique<TcpConn>(loop_, fd));
  }
}

}  // namespace deckhall
