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

void NoDelay(int fd) {
  const int one = 1;
  (void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

int OpenListener(const Endpoint& at) {
  sockaddr_in addr{};
  if (!ToSockaddr(at, &addr)) throw std::runtime_error("not an address: " + at.Text());
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) throw std::runtime_error("no socket for " + at.Text());
  const int one = 1;
  (void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind(fd, reinterpret_cast<sockaddr*>(&addr), sizeof addr) != 0 || listen(fd, 512) != 0) {
    const int why = errno;
    close(fd);
    throw std::runtime_error("can't listen on " + at.Text() + ": " +
                             std::generic_category().message(why));
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
  sockaddr_in probe{};
  return ToSockaddr(*out, &probe);
}

TcpConn::TcpConn(Loop* loop, int fd)
    : fd_(fd),
      watch_(loop, fd, [this](bool r, bool w) { OnIo(r, w); }),
      closer_(loop, [this] { Closed(); }) {
  NoDelay(fd);
}

TcpConn::~TcpConn() {
  *alive_ = false;
  watch_.Want(false, false);
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
  Update();
}

void TcpConn::Update() {
  if (dead_) return;
  if (!connected_) {
    watch_.Want(false, true);
    return;
  }
  watch_.Want(!paused_ || closing_, out_at_ < out_.size());
}

void TcpConn::Send(std::string_view bytes) {
  if (dead_ || closing_) return;
  if (out_at_ == out_.size()) {
    out_.clear();
    out_at_ = 0;
  }
  out_.append(bytes);
  if (connected_ && !Flush()) {
    // Told from the loop, never from within Send.
    dead_ = true;
    watch_.Want(false, false);
    closer_.Start(0);
    return;
  }
  Update();
}

bool TcpConn::Flush() {
  while (out_at_ < out_.size()) {
    const ssize_t n = send(fd_, out_.data() + out_at_, out_.size() - out_at_, MSG_NOSIGNAL);
    if (n > 0) {
      out_at_ += static_cast<size_t>(n);
    } else if (n < 0 && errno == EINTR) {
      continue;
    } else {
      return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
    }
  }
  out_.clear();
  out_at_ = 0;
  return true;
}

void TcpConn::Abandon() {
  dead_ = true;
  watch_.Want(false, false);
  closer_.Stop();
}

void TcpConn::PauseReading(bool pause) {
  paused_ = pause;
  Update();
}

void TcpConn::CloseAfterSend() {
  if (dead_ || closing_) return;
  closing_ = true;
  if (unsent() == 0) (void)shutdown(fd_, SHUT_WR);
  // Gives the peer a moment to read the answer before a reset could drop it.
  closer_.Start(1.0);
  Update();
}

void TcpConn::OnIo(bool readable, bool writable) {
  const std::weak_ptr<bool> alive = alive_;
  if (writable) {
    if (!connected_) {
      int err = 0;
      socklen_t len = sizeof err;
      if (getsockopt(fd_, SOL_SOCKET, SO_ERROR, &err, &len) != 0 || err != 0) {
        Closed();
        return;
      }
      connected_ = true;
    }
    if (!Flush()) {
      Closed();
      return;
    }
    if (closing_ && unsent() == 0) (void)shutdown(fd_, SHUT_WR);
  }
  if (readable) {
    char buffer[16384];
    for (int turn = 0; turn < 4; ++turn) {
      const ssize_t n = recv(fd_, buffer, sizeof buffer, 0);
      if (n > 0) {
        if (!closing_ && on_data_) {
          on_data_(std::string_view(buffer, static_cast<size_t>(n)));
          if (alive.expired() || dead_) return;
        }
        if (static_cast<size_t>(n) < sizeof buffer || paused_) break;
      } else if (n < 0 && errno == EINTR) {
        continue;
      } else if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
        break;
      } else {
        Closed();
        return;
      }
    }
  }
  Update();
}

void TcpConn::Closed() {
  dead_ = true;
  watch_.Want(false, false);
  closer_.Stop();
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
      retry_(loop, [this] { watch_.Want(true, false); }) {
  watch_.Want(true, false);
}

TcpListener::~TcpListener() {
  watch_.Want(false, false);
  close(fd_);
}

void TcpListener::OnReadable() {
  for (int i = 0; i < 64; ++i) {
    const int fd = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0) {
      if (errno == EINTR || errno == ECONNABORTED) continue;
      if (errno != EAGAIN && errno != EWOULDBLOCK) {
        // Out of sockets: wait a little instead of spinning.
        watch_.Want(false, false);
        retry_.Start(0.1);
      }
      return;
    }
    on_accept_(std::make_unique<TcpConn>(loop_, fd));
  }
}

}  // namespace deckhall
