#include "fescuedyke/storage/posix_file_system.h"

#include <absl/memory/memory.h>

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <sys/file.h>
#include <unistd.h>
#include <utility>

namespace fescuedyke {

namespace {

constexpr mode_t file_mode = 0600;
constexpr std::size_t read_buffer_bytes = 64U << 10U;

absl::Status errno_to_status(const std::string& name, const char* operation)
{
    const std::string message = name + ": " + operation + ": " + std::strerror(errno);
    if (errno == ENOENT) {
        return absl::NotFoundError(message);
    }
    if (errno == ENOSPC || errno == EDQUOT) {
        return absl::ResourceExhaustedError(message);
    }
    return absl::DataLossError(message);
}

absl::Status write_all(int fd, const std::string& name, const std::string& bytes)
{
    std::size_t written_bytes = 0;
    while (written_bytes < bytes.size()) {
        const ssize_t written =
            ::write(fd, bytes.data() + written_bytes, bytes.size() - written_bytes);
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written < 0) {
            return errno_to_status(name, "write");
        }
        written_bytes += static_cast<std::size_t>(written);
    }
    if (::fdatasync(fd) != 0) {
        return errno_to_status(name, "sync");
    }
    return absl::OkStatus();
}

} // namespace

absl::StatusOr<std::unique_ptr<posix_file_system>>
posix_file_system::open(const std::string& directory)
{
    std::error_code error;
    std::filesystem::create_directories(directory, error);
    const int fd = ::open(directory.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (fd < 0) {
        return errno_to_status(directory, "open");
    }
    if (::flock(fd, LOCK_EX | LOCK_NB) != 0) {
        ::close(fd);
        return absl::FailedPreconditionError(directory +
                                             ": data directory is locked by another process");
    }
    return absl::WrapUnique(new posix_file_system(directory, fd));
}

posix_file_system::posix_file_system(std::string directory, int directory_fd)
    : directory_(std::move(directory)), directory_fd_(directory_fd)
{
}

posix_file_system::~posix_file_system()
{
    for (const auto& [name, fd] : append_fds_) {
        ::close(fd);
    }
    ::close(directory_fd_);
}

absl::StatusOr<std::string> posix_file_system::read(const std::string& name)
{
    const int fd = ::openat(directory_fd_, name.c_str(), O_RDONLY | O_CLOEXEC);
    if (fd < 0) {
        return errno_to_status(name, "open");
    }
    std::string content;
    std::string buffer(read_buffer_bytes, '\0');
    for (;;) {
        const ssize_t bytes_read = ::read(fd, buffer.data(), buffer.size());
        if (bytes_read < 0 && errno == EINTR) {
            continue;
        }
        if (bytes_read < 0) {
            absl::Status status = errno_to_status(name, "read");
            ::close(fd);
            return status;
        }
        if (bytes_read == 0) {
            break;
        }
        content.append(buffer, 0, static_cast<std::size_t>(bytes_read));
    }
    ::close(fd);
    return content;
}

absl::StatusOr<int> posix_file_system::open_for_append(const std::string& name)
{
    const auto open_file = append_fds_.find(name);
    if (open_file != append_fds_.end()) {
        return open_file->second;
    }
    const int flags = O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC;
    const int fd = ::openat(directory_fd_, name.c_str(), flags, file_mode);
    if (fd < 0) {
        return errno_to_status(name, "open");
    }
    if (::fsync(directory_fd_) != 0) {
        ::close(fd);
        return errno_to_status(directory_, "sync");
    }
    append_fds_[name] = fd;
    return fd;
}

void posix_file_system::close_append(const std::string& name)
{
    const auto open_file = append_fds_.find(name);
    if (open_file != append_fds_.end()) {
        ::close(open_file->second);
        append_fds_.erase(open_file);
    }
}

absl::Status posix_file_system::append_and_sync(const std::string& name, const std::string& bytes)
{
    const absl::StatusOr<int> fd = open_for_append(name);
    if (!fd.ok()) {
        return fd.status();
    }
    return write_all(*fd, name, bytes);
}

absl::Status posix_file_system::replace_and_sync(const std::string& name, const std::string& bytes)
{
    close_append(name);
    const std::string temporary_name = name + ".new";
    const int flags = O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC;
    const int fd = ::openat(directory_fd_, temporary_name.c_str(), flags, file_mode);
    if (fd < 0) {
        return errno_to_status(temporary_name, "open");
    }
    absl::Status written = write_all(fd, temporary_name, bytes);
    ::close(fd);
    if (!written.ok()) {
        return written;
    }
    if (::renameat(directory_fd_, temporary_name.c_str(), directory_fd_, name.c_str()) != 0) {
        return errno_to_status(name, "rename");
    }
    if (::fsync(directory_fd_) != 0) {
        return errno_to_status(directory_, "sync");
    }
    return absl::OkStatus();
}

absl::Status posix_file_system::sync(const std::string& name)
{
    const int fd = ::openat(directory_fd_, name.c_str(), O_WRONLY | O_CLOEXEC);
    if (fd < 0) {
        return errno_to_status(name, "open");
    }
    const bool synced = ::fsync(fd) == 0 && ::fsync(directory_fd_) == 0;
    absl::Status status = synced ? absl::OkStatus() : errno_to_status(name, "sync");
    ::close(fd);
    return status;
}

absl::Status posix_file_system::truncate_and_sync(const std::string& name, std::size_t size)
{
    close_append(name);
    const int fd = ::openat(directory_fd_, name.c_str(), O_WRONLY | O_CLOEXEC);
    if (fd < 0) {
        return errno_to_status(name, "open");
    }
    const bool truncated = ::ftruncate(fd, static_cast<off_t>(size)) == 0 && ::fsync(fd) == 0;
    absl::Status status = truncated ? absl::OkStatus() : errno_to_status(name, "truncate");
    ::close(fd);
    return status;
}

} // namespace fescuedyke
