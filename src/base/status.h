// How a call ended: a code that callers decide by, and a message for people. Functions that give a value
// return Result<T>; nothing throws across modules.
#pragma once
#include <cassert>
#include <optional>
#include <string>
#include <utility>

namespace pebblespindle {

enum class StatusCode {
  kOk,
  kInvalidArgument,  // no state of the system could make the request valid
  kConflict,         // it builds on a version that is not the present one
  kNotFound,
  kUnavailable,  // not now; the same request may succeed later
  kNoAnswer,     // no answer in time: it may have been carried out
  kCorruption,   // stored data is damaged or contradicts itself
  kIoError,      // the operating system or the network refused
};

class [[nodiscard]] Status {
 public:
  Status() = default;
  Status(StatusCode code, std::string message) : code_(code), message_(std::move(message)) {}

  static Status ok() { return {}; }
  static Status invalid_argument(std::string message) {
    return {StatusCode::kInvalidArgument, std::move(message)};
  }
  static Status conflict(std::string message) { return {StatusCode::kConflict, std::move(message)}; }
  static Status unavailable(std::string message) { return {StatusCode::kUnavailable, std::move(message)}; }
  static Status no_answer(std::string message) { return {StatusCode::kNoAnswer, std::move(message)}; }
  static Status corruption(std::string message) { return {StatusCode::kCorruption, std::move(message)}; }
  static Status io_error(std::string message) { return {StatusCode::kIoError, std::move(message)}; }

  bool is_ok() const { return code_ == StatusCode::kOk; }
  StatusCode code() const { return code_; }
  const std::string& message() const { return message_; }  // one line without a full stop; empty when ok
  bool operator==(const Status&) const = default;

 private:
  StatusCode code_ = StatusCode::kOk;
  std::string message_;
};

// A value, or the status that says why there is none.
template <class T>
class [[nodiscard]] Result {
 public:
  Result(T value) : value_(std::move(value)) {}
  Result(Status status) : status_(std::move(status)) { assert(!status_.is_ok()); }

  explicit operator bool() const { return value_.has_value(); }
  // Only when there is a value.
  T& operator*() { return *value_; }
  const T& operator*() const { return *value_; }
  T* operator->() { return &*value_; }
  const T* operator->() const { return &*value_; }
  const Status& status() const { return status_; }  // ok when there is a value

 private:
  std::optional<T> value_;
  Status status_;
};

}  // namespace pebblespindle
