// The event loop: libev behind a few small classes.
#pragma once

#include <ev.h>

#include <functional>
#include <memory>

namespace deckhall {

class Loop {
 public:
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  struct ev_loop* ev() {
    return loop_;
  }
  void Run();
  void Stop();
  // Steady clock in seconds, as of this turn of the loop.
  double Now() const;

 private:
  struct ev_loop* loop_;
};

// Steady time, read now.
double SteadySeconds();
// Time of day in seconds since the epoch.
double WallSeconds();

class Timer {
 public:
  Timer(Loop* loop, std::function<void()> fn);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  void Start(double after_s, double repeat_s = 0);
  void Stop();
  bool active() const { return ev_is_active(&watcher_); }

 private:
  static void Fired(struct ev_loop* loop, ev_timer* w, int events);

  Loop* loop_;
  ev_timer watcher_{};
  std::function<void()> fn_;
};

// Called each time before the loop waits: what was gathered in this turn goes out.
class BeforeWait {
 public:
  BeforeWait(Loop* loop, std::function<void()> fn);
  ~BeforeWait();
  BeforeWait(const BeforeWait&) = delete;
  BeforeWait& operator=(const BeforeWait&) = delete;

 private:
  static void Fired(struct ev_loop* loop, ev_prepare* w, int events);

  Loop* loop_;
  ev_prepare watcher_{};
  std::function<void()> fn_;
};

// Watches one descriptor for reading and writing.
class IoWatch {
 public:
  IoWatch(Loop* loop, int fd, std::function<void(bool readable, bool writable)> fn);
  ~IoWatch();
  IoWatch(const IoWatch&) = delete;
  IoWatch& operator=(const IoWatch&) = delete;

  void Want(bool read, bool write);

 private:
  static void Fired(struct ev_loop* loop, ev_io* w, int events);

  Loop* loop_;
  ev_io watcher_{};
  int fd_;
  int wanted_ = 0;
  std::function<void(bool, bool)> fn_;
};

}  // namespace deckhall
