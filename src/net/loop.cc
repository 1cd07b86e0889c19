#include "net/loop.h"

#include <ctime>
#include <stdexcept>

namespace deckhall {

Loop::Loop()
    : loop_(ev_loop_new(static_cast<unsigned>(EVBACKEND_EPOLL) |
                        static_cast<unsigned>(EVFLAG_NOENV))) {
  if (loop_ == nullptr) throw std::runtime_error("cannot create an event loop");
}

Loop::~Loop() { ev_loop_destroy(loop_); }

void Loop::Run() { ev_run(loop_, 0); }

void Loop::Stop() { ev_break(loop_, EVBREAK_ALL); }

double Loop::Now() const { return SteadySeconds(); }

double SteadySeconds() {
  timespec ts{};
  clock_gettime(CLOCK_MONOTONIC, &ts);
  return static_cast<double>(ts.tv_sec) + static_cast<double>(ts.tv_nsec) * 1e-9;
}

double WallSeconds() {
  timespec ts{};
  clock_gettime(CLOCK_REALTIME, &ts);
  return static_cast<double>(ts.tv_sec) + static_cast<double>(ts.tv_nsec) * 1e-9;
}

Timer::Timer(Loop* loop, std::function<void()> fn) : loop_(loop), fn_(std::move(fn)) {
  ev_init(&watcher_, &Timer::Fired);
  watcher_.data = this;
}

Timer::~Timer() { Stop(); }

void Timer::Start(double after_s, double repeat_s) {
  Stop();
  ev_timer_set(&watcher_, after_s < 0 ? 0 : after_s, repeat_s);
  ev_timer_start(loop_->ev(), &watcher_);
}

void Timer::Stop() { ev_timer_stop(loop_->ev(), &watcher_); }

void Timer::Fired(struct ev_loop* /*loop*/, ev_timer* w, int /*events*/) {
  static_cast<Timer*>(w->data)->fn_();
}

BeforeWait::BeforeWait(Loop* loop, std::function<void()> fn) : loop_(loop), fn_(std::move(fn)) {
  ev_prepare_init(&watcher_, &BeforeWait::Fired);
  watcher_.data = this;
  ev_prepare_start(loop_->ev(), &watcher_);
}

BeforeWait::~BeforeWait() { ev_prepare_stop(loop_->ev(), &watcher_); }

void BeforeWait::Fired(struct ev_loop*, ev_prepare* w, int) {
  static_cast<BeforeWait*>(w->data)->fn_();
}

IoWatcher::IoWatcher(Loop* loop, int fd, std::function<void(bool, bool)> fn)
    : loop_(loop), fd_(fd), fn_(std::move(fn)) {
  ev_init(&watcher_, &IoWatcher::Fired);
  // Descriptors are handled before timers that expire in the same iteration: after a stall of this
  // process, responses that have already arrived would otherwise count as timed out.
  ev_set_priority(&watcher_, EV_MAXPRI);
  watcher_.data = this;
}

IoWatcher::~IoWatcher() { ev_io_stop(loop_->ev(), &watcher_); }

void IoWatcher::WatchFor(bool read, bool write) {
  const int events = (read ? EV_READ : 0) | (write ? EV_WRITE : 0);
  if (events == watched_events_) return;
  watched_events_ = events;
  ev_io_stop(loop_->ev(), &watcher_);
  if (events == 0) return;
  ev_io_set(&watcher_, fd_, events);
  ev_io_start(loop_->ev(), &watcher_);
}

void IoWatcher::Fired(struct ev_loop* /*loop*/, ev_io* w, int events) {
  static_cast<IoWatcher*>(w->data)->fn_((events & EV_READ) != 0, (events & EV_WRITE) != 0);
}

}  // namespace deckhall
