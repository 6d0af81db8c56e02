#include "citronlane/process/worker_thread.h"

#include <utility>

namespace citronlane {

WorkerThread::WorkerThread(std::mutex* mutex, std::condition_variable* wake)
    : mutex_(mutex), wake_(wake) {}

void WorkerThread::Start(std::function<void()> run) {
  thread_ = std::thread(std::move(run));
}

void WorkerThread::Stop() {
  {
    const std::lock_guard<std::mutex> lock(*mutex_);
    is_stopping_ = true;
  }
  wake_->notify_one();
  if (thread_.joinable()) {
    thread_.join();
  }
}

}  // namespace citronlane
