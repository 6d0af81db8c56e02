#include "citronlane/transport/detail/timer_queue.h"

#include <utility>

#include "citronlane/base/steady_now.h"

namespace citronlane {

TimerQueue::~TimerQueue() {
  Stop();
}

void TimerQueue::Start() {
  thread_.Start([this] { Run(); });
}

void TimerQueue::Stop() {
  thread_.Stop();
}

void TimerQueue::At(TimePoint time, Task task) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    if (!is_over_) {
      tasks_.emplace(time, std::move(task));
      task = nullptr;
    }
  }
  if (task) {
    task();
  } else {
    wake_.notify_one();
  }
}

void TimerQueue::Post(Task task) {
  At(SteadyNow(), std::move(task));
}

void TimerQueue::After(Duration delay, Task task) {
  At(SteadyNow() + delay, std::move(task));
}

void TimerQueue::Run() {
  std::unique_lock<std::mutex> lock(mutex_);
  while (true) {
    if (tasks_.empty()) {
      if (thread_.is_stopping()) {
        break;
      }
      wake_.wait(lock);
      continue;
    }
    const auto first = tasks_.begin();
    if (!thread_.is_stopping() && first->first > SteadyNow()) {
      const TimePoint until = first->first;
      wake_.wait_until(lock, until);
      continue;
    }
    const Task task = std::move(first->second);
    tasks_.erase(first);
    lock.unlock();
    task();
    lock.lock();
  }
  is_over_ = true;
}

}  // namespace citronlane
