#include "adapters/codec/deltacodec.h"

#include <memory>
#include <zstd.h>

namespace Galenahill {

namespace {

constexpr int CompressionLevel = 3;
constexpr unsigned long long MaxExpandedBytes = 64ULL * 1024 * 1024;

// Long-distance matching with a window over the whole base lets changes deep inside a large
// configuration refer to the same place in the base. Its tables take megabytes; up to this size,
// the default window suffices.
constexpr int WindowLog = 26;
constexpr std::size_t DefaultWindowBytes = 1024 * 1024;

struct FreeContext
{
    void operator()(ZSTD_CCtx *context) const
    {
        ZSTD_freeCCtx(context);
    }
    void operator()(ZSTD_DCtx *context) const
    {
        ZSTD_freeDCtx(context);
    }
};

}

std::string compressDelta(const std::string &text, const std::string &base)
{
    const std::unique_ptr<ZSTD_CCtx, FreeContext> context(ZSTD_createCCtx());
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, CompressionLevel);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
    if (!base.empty()) {
        const bool large = base.size() + text.size() > DefaultWindowBytes;
        ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, large ? 1 : 0);
        ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
    }
    std::string delta(ZSTD_compressBound(text.size()), '\0');
    const auto size = ZSTD_compress2(context.get(), delta.data(), delta.size(), text.data(), text.size());
    // Deltas are stored, and most are far shorter than the bound.
    delta.resize(size);
    delta.shrink_to_fit();
    return delta;
}

Result<std::string> expandDelta(const std::string &delta, const std::string &base)
{
    const auto size = ZSTD_getFrameContentSize(delta.data(), delta.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN || size > MaxExpandedBytes) {
        return failure(ErrorKind::Corrupt, "delta: invalid frame header or declared size; fetch the complete revision");
    }
    const std::unique_ptr<ZSTD_DCtx, FreeContext> context(ZSTD_createDCtx());
    ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, WindowLog);
    if (!base.empty()) {
        ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    }
    std::string text(size, '\0');
    const auto expanded = ZSTD_decompressDCtx(context.get(), text.data(), text.size(), delta.data(), delta.size());
    if (ZSTD_isError(expanded) != 0 || expanded != size) {
        return failure(ErrorKind::Corrupt, "delta: damaged or made for another base; fetch the complete revision");
    }
    return text;
}

}
