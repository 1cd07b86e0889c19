#include "net.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <random>
#include <set>
#include <stdexcept>
#include <utility>

namespace review {

Endpoint FreeEndpoint() {
  static std::mt19937 random{std::random_device{}()};
  static std::set<int> given;
  for (int tries = 0; tries < 2000; ++tries) {
    const int port = 12000 + static_cast<int>(random() % 20000);
    if (given.contains(port)) continue;
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(port));
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    const bool is_free = bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    close(fd);
    if (!is_free) continue;
    given.insert(port);
    return {"127.0.0.1", static_cast<uint16_t>(port)};
  }
  throw std::runtime_error("no free port");
}

Proxy::Proxy(Loop* loop, Endpoint target)
    : loop_(loop),
      target_(std::move(target)),
      endpoint_(FreeEndpoint()),
      sweeper_(loop, [this] { Sweep(); }) {
  Listen();
}

void Proxy::Listen() {
  listener_ = std::make_unique<TcpListener>(
      loop_, endpoint_, [this](std::unique_ptr<TcpConn> tcp) { Accept(std::move(tcp)); });
}

void Proxy::Refuse(bool refuse) {
  if (!refuse) {
    if (!listener_) Listen();
    return;
  }
  listener_.reset();
  for (auto& pair : pairs_) pair->dead = true;
  sweeper_.Start(0);
}

void Proxy::HoldToServer(bool hold) {
  hold_to_server_ = hold;
  if (!hold) Release();
}

void Proxy::HoldToClient(bool hold) {
  hold_to_client_ = hold;
  if (!hold) Release();
}

void Proxy::Accept(std::unique_ptr<TcpConn> tcp) {
  auto owned = std::make_unique<Pair>();
  Pair* pair = owned.get();
  pair->client = std::move(tcp);
  pair->server = TcpConn::Connect(loop_, target_);
  if (!pair->server) return;
  pair->client->SetCallbacks(
      [this, pair](std::string_view bytes) {
        if (hold_to_server_ || !pair->held_to_server.empty()) {
          pair->held_to_server.append(bytes);
        } else {
          pair->server->Send(bytes);
          if (std::exchange(cut_after_request_, false)) hold_to_server_ = hold_to_client_ = true;
        }
      },
      [this, pair] {
        pair->client_closed = true;
        sweeper_.Start(0);
      });
  pair->server->SetCallbacks(
      [this, pair](std::string_view bytes) {
        if (hold_to_client_ || !pair->held_to_client.empty()) {
          pair->held_to_client.append(bytes);
        } else {
          pair->client->Send(bytes);
        }
      },
      [this, pair] {
        pair->server_closed = true;
        sweeper_.Start(0);
      });
  pairs_.push_back(std::move(owned));
}

void Proxy::Release() {
  for (auto& pair : pairs_) {
    if (!hold_to_server_ && !pair->held_to_server.empty()) {
      pair->server->Send(std::exchange(pair->held_to_server, {}));
    }
    if (!hold_to_client_ && !pair->held_to_client.empty()) {
      pair->client->Send(std::exchange(pair->held_to_client, {}));
    }
  }
  sweeper_.Start(0.05);
}

void Proxy::Sweep() {
  for (auto& pair : pairs_) {
    // Bytes that are held, or not yet passed on, still arrive after their sender has closed.
    if (pair->client_closed && pair->held_to_server.empty() && pair->server->unsent() == 0) {
      pair->dead = true;
    }
    if (pair->server_closed && pair->held_to_client.empty() && pair->client->unsent() == 0) {
      pair->dead = true;
    }
  }
  std::erase_if(pairs_, [](const std::unique_ptr<Pair>& pair) { return pair->dead; });
}

}  // namespace review
