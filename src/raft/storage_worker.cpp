#include "raft/storage_worker.h"

#include <condition_variable>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace parsleyline::raft {
namespace {

/// Work for the log thread: a batch to write, or a saved snapshot whose segments can be released.
struct LogWork {
  Actions batch;
  SnapshotPtr saved_snapshot;
};

/// Work for the file thread: a snapshot to save, or files to remove.
struct FileWork {
  SnapshotPtr snapshot;
  std::vector<std::string> obsolete_files;
};

/// Queue of work for one thread, which takes all queued items at once.
template <typename T>
class WorkQueue {
 public:
  void Add(T item) {
    {
      const std::lock_guard lock(mutex_);
      items_.push_back(std::move(item));
    }
    changed_.notify_one();
  }

  void Close() {
    {
      const std::lock_guard lock(mutex_);
      closed_ = true;
    }
    changed_.notify_one();
  }

  /// Waits for items and returns all of them. Returns none once the queue is closed and empty.
  std::vector<T> TakeAll() {
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return closed_ || !items_.empty(); });
    return std::exchange(items_, {});
  }

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::vector<T> items_;
  bool closed_ = false;
};

}  // namespace

struct StorageWorker::Impl {
  void RunLogThread();
  void RunFileThread();
  Result<void> Process(const std::vector<LogWork>& items);
  Result<void> Process(FileWork work);
  void ReportFailure(const Error& error);

  std::unique_ptr<LogStorage> storage;
  Callbacks callbacks;
  WorkQueue<LogWork> log_queue;
  WorkQueue<FileWork> file_queue;
  std::once_flag failure_reported;
  std::thread log_thread;
  std::thread file_thread;
};

void StorageWorker::Impl::ReportFailure(const Error& error) {
  std::call_once(failure_reported, [this, &error] { callbacks.on_failed(error); });
}

Result<void> StorageWorker::Impl::Process(const std::vector<LogWork>& items) {
  for (const LogWork& work : items) {
    if (work.saved_snapshot == nullptr) {
      if (auto written = storage->Write(work.batch); !written) return written;
      continue;
    }
    auto released = storage->ReleaseSegments();
    if (!released) return tl::make_unexpected(released.error());
    file_queue.Add({.obsolete_files = std::move(*released)});
  }
  return storage->Sync();
}

void StorageWorker::Impl::RunLogThread() {
  for (auto items = log_queue.TakeAll(); !items.empty(); items = log_queue.TakeAll()) {
    if (auto done = Process(items); !done) return ReportFailure(done.error());
    for (LogWork& work : items) {
      if (work.saved_snapshot != nullptr) {
        callbacks.on_snapshot_saved(std::move(work.saved_snapshot));
      } else {
        callbacks.on_synced(std::move(work.batch));
      }
    }
  }
}

Result<void> StorageWorker::Impl::Process(FileWork work) {
  if (work.snapshot == nullptr) return storage->RemoveFiles(work.obsolete_files);
  if (auto saved = storage->SaveSnapshot(*work.snapshot); !saved) return saved;
  log_queue.Add({.saved_snapshot = std::move(work.snapshot)});
  return {};
}

void StorageWorker::Impl::RunFileThread() {
  for (auto items = file_queue.TakeAll(); !items.empty(); items = file_queue.TakeAll()) {
    for (FileWork& work : items) {
      if (auto done = Process(std::move(work)); !done) return ReportFailure(done.error());
    }
  }
}

StorageWorker::StorageWorker(std::unique_ptr<LogStorage> storage, Callbacks callbacks)
    : impl_(std::make_unique<Impl>()) {
  impl_->storage = std::move(storage);
  impl_->callbacks = std::move(callbacks);
  impl_->log_thread = std::thread([impl = impl_.get()] { impl->RunLogThread(); });
  impl_->file_thread = std::thread([impl = impl_.get()] { impl->RunFileThread(); });
}

// Segments that are released after the file thread has ended are removed after the next snapshot
// following a restart.
StorageWorker::~StorageWorker() {
  impl_->file_queue.Close();
  impl_->file_thread.join();
  impl_->log_queue.Close();
  impl_->log_thread.join();
}

void StorageWorker::Write(Actions batch) { impl_->log_queue.Add({.batch = std::move(batch)}); }

void StorageWorker::SaveSnapshot(SnapshotPtr snapshot) {
  impl_->file_queue.Add({.snapshot = std::move(snapshot)});
}

}  // namespace parsleyline::raft
