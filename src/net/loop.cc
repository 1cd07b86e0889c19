#include "net/loop.h"

#include <ctime>
#include <stdexcept>

namespace deckhall {

Loop::Loop()
    : loop_(ev_loop_new(static_cast<unsigned>(EVBACKEND_EPOLL) |
                        static_cast<unsigned>(EVFLAG_NOENV))) {
  if (loop_ == nullptr) throw std::runtime_error("no event loop");
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

IoWatch::IoWatch(Loop* loop, int fd, std::function<void(bool, bool)> fn)
    : loop_(loop), fd_(fd), fn_(std::move(fn)) {
  ev_init(&watcher_, &IoWatch::Fired);
  // Data that has come counts before a deadline that passes in the same turn: after
  // a stall of our own, answers would otherwise seem to be missing.
  ev_set_priority(&watcher_, EV_MAXPRI);
  watcher_.data = this;
}

IoWatch::~IoWatch() { ev_io_stop(loop_->ev(), &watcher_); }

void IoWatch::Want(bool read, bool write) {
  const int events = (read ? EV_READ : 0) | (write ? EV_WRITE : 0);
  if (events == wanted_) return;
  wanted_ = events;
  ev_io_stop(loop_->ev(), &watcher_);
  if (events == 0) return;
  ev_io_set(&watcher_, fd_, events);
  ev_io_start(loop_->ev(), &watcher_);
}

void IoWatch::Fired(struct ev_loop* /*loop*/, ev_io* w, int events) {
  static_cast<IoWatch*>(w->data)->fn_((events & EV_READ) != 0, (events & EV_WRITE) != 0);
}

}  // namespace deckhall
