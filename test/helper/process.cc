#include "../helper.h"

#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace pimentomast::test {

namespace {

[[noreturn]] void execute(
    const std::string& path, const std::vector<char*>& arguments, const std::string& log)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(output, STDOUT_FILENO);
    dup2(output, STDERR_FILENO);
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, nullptr);
    execv(path.c_str(), arguments.data());
    _exit(127);
}

int exitStatus(int status)
{
    return WIFSIGNALED(status) ? 128 + WTERMSIG(status) : WEXITSTATUS(status);
}

} // namespace

std::string programPath(const std::string& name)
{
    const char* folder = std::getenv("PIMENTOMAST_BIN");
    const std::string build = folder ? folder : "build";
    return name == "pimentomast" ? build + "/" + name : build + "/test/" + name;
}

process process::start(
    const std::string& name, const std::vector<std::string>& arguments, const std::string& log)
{
    const auto path = programPath(name);
    std::vector<char*> pointers { const_cast<char*>(path.c_str()) };
    for (const auto& argument : arguments)
        pointers.push_back(const_cast<char*>(argument.c_str()));
    pointers.push_back(nullptr);
    const auto id = fork();
    if (id < 0)
        throw failure({ "start process", name, "fork failed" });
    if (id == 0)
        execute(path, pointers, log);
    return process(id);
}

process::process(process&& other) noexcept
    : m_id(std::exchange(other.m_id, -1))
    , m_status(other.m_status)
{
}

process& process::operator=(process&& other) noexcept
{
    std::swap(m_id, other.m_id);
    std::swap(m_status, other.m_status);
    return *this;
}

process::~process() { kill(); }

void process::kill()
{
    if (!running())
        return;
    ::kill(m_id, SIGKILL);
    wait();
}

void process::freeze()
{
    ::kill(m_id, SIGSTOP);
    int status = 0;
    waitpid(m_id, &status, WUNTRACED);
    if (!WIFSTOPPED(status))
        throw failure({ "freeze process", std::to_string(m_id), "the process has ended" });
}

void process::thaw() { ::kill(m_id, SIGCONT); }

void process::terminate() { ::kill(m_id, SIGTERM); }

bool process::running()
{
    if (m_id < 0 || m_status >= 0)
        return false;
    int status = 0;
    if (waitpid(m_id, &status, WNOHANG) != m_id)
        return true;
    m_status = exitStatus(status);
    return false;
}

int process::wait(milliseconds limit)
{
    if (m_id < 0)
        return -1;
    return waitUntil([this] { return !running(); }, limit) ? m_status : -1;
}

bool waitUntil(const std::function<bool()>& condition, milliseconds limit)
{
    const auto end = monotonic_clock::now() + limit;
    while (!condition()) {
        if (monotonic_clock::now() > end)
            return false;
        std::this_thread::sleep_for(milliseconds(10));
    }
    return true;
}

} // namespace pimentomast::test
