// Event loop with timers and descriptor watchers, based on libev.
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
  // Monotonic time in seconds, read at each call.
  double Now() const;

 private:
  struct ev_loop* loop_;
};

// Monotonic time in seconds.
double SteadySeconds();
// Wall-clock time in seconds since the Unix epoch.
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

// Calls `fn` each time before the loop waits for events, for example to flush output that was
// collected during the iteration.
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

// Watches one file descriptor for readability and writability.
class IoWatcher {
 public:
  IoWatcher(Loop* loop, int fd, std::function<void(bool readable, bool writable)> fn);
  ~IoWatcher();
  IoWatcher(const IoWatcher&) = delete;
  IoWatcher& operator=(const IoWatcher&) = delete;

  void WatchFor(bool read, bool write);

 private:
  static void Fired(struct ev_loop* loop, ev_io* w, int events);

  Loop* loop_;
  ev_io watcher_{};
  int fd_;
  int watched_events_ = 0;
  std::function<void(bool, bool)> fn_;
};

}  // namespace deckhall
