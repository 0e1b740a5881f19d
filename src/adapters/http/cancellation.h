#pragma once

#include <functional>
#include <utility>

namespace Galenahill {

// Notifies an operation that its caller has cancelled it. There is one hook at a time; it is
// called once, and immediately if the operation is already cancelled.
class Cancellation
{
public:
    bool cancelled() const
    {
        return m_cancelled;
    }

    void cancel()
    {
        m_cancelled = true;
        if (const auto hook = std::exchange(m_hook, nullptr)) {
            hook();
        }
    }

    void setHook(std::function<void()> hook)
    {
        m_hook = std::move(hook);
        if (m_cancelled && m_hook) {
            std::exchange(m_hook, nullptr)();
        }
    }

private:
    std::function<void()> m_hook;
    bool m_cancelled = false;
};

}
