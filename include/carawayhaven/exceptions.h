#ifndef CARAWAYHAVEN_EXCEPTIONS_H_
#define CARAWAYHAVEN_EXCEPTIONS_H_

#include <stdexcept>
#include <string>

namespace carawayhaven {

/// Line and column in a text, both one-based. Zero means unknown.
struct TextPosition {
  unsigned line = 0;
  unsigned column = 0;
};

/// Base class of all exceptions of this library.
class Error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/// An error at a known line and column of a parsed text.
class ParseError : public Error {
 public:
  /// what() returns "line L, column C: message".
  ParseError(TextPosition position, const std::string& message);

  TextPosition position() const { return position_; }

 private:
  TextPosition position_;
};

class InvalidTokenError : public Error {
 public:
  using Error::Error;
};

/// A received message or stored object could not be decoded.
class DecodeError : public Error {
 public:
  using Error::Error;
};

/// A listener, client or event loop could not be created.
class NetworkError : public Error {
 public:
  using Error::Error;
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_EXCEPTIONS_H_
