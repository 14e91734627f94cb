#include "Peer/PeerKeys.h"

#include <algorithm>
#include <cstring>
#include <random>

#include <glib.h>

namespace {

void AddNumber(GHmac* aHmac, std::uint64_t aNumber)
{
  const std::uint64_t bigEndian = GUINT64_TO_BE(aNumber);
  g_hmac_update(
    aHmac, reinterpret_cast<const guchar*>(&bigEndian), sizeof bigEndian);
}

// The length in front of each field prevents two different lists of fields from
// having the same bytes.
void AddText(GHmac* aHmac, std::string_view aText)
{
  AddNumber(aHmac, aText.size());
  g_hmac_update(aHmac,
                reinterpret_cast<const guchar*>(aText.data()),
                static_cast<gssize>(aText.size()));
}

} // namespace

const peer_key* peer_key_ring::Signing() const
{
  return mKeys.empty() ? nullptr : &mKeys.front();
}

const peer_key* peer_key_ring::Find(std::string_view aId) const
{
  const auto found =
    std::find_if(mKeys.begin(), mKeys.end(), [&](const peer_key& aKey) {
      return aKey.mId == aId;
    });
  return found == mKeys.end() ? nullptr : &*found;
}

peer_signature SignMessage(const peer_key& aKey,
                           const peer_signing_context& aContext,
                           bool aReply,
                           peer_method aMethod,
                           std::uint64_t aCounter,
                           std::string_view aContent)
{
  GHmac* hmac = g_hmac_new(G_CHECKSUM_SHA256,
                           reinterpret_cast<const guchar*>(aKey.mSecret.data()),
                           aKey.mSecret.size());
  AddText(hmac, aKey.mId);
  AddText(hmac, aContext.mCaller.mName);
  AddText(hmac, aContext.mReceiver.mName);
  AddText(hmac, aContext.mCallerNonce);
  AddText(hmac, aContext.mReceiverNonce);
  AddNumber(hmac, aReply ? 1 : 0);
  AddNumber(hmac, static_cast<std::uint64_t>(aMethod));
  AddNumber(hmac, aCounter);
  AddText(hmac, aContent);
  peer_signature signature{};
  gsize length = signature.size();
  g_hmac_get_digest(hmac, signature.data(), &length);
  g_hmac_unref(hmac);
  return signature;
}

bool SignaturesMatch(const peer_signature& aExpected, std::string_view aActual)
{
  if (aActual.size() != aExpected.size()) {
    return false;
  }
  std::uint8_t difference = 0;
  for (std::size_t i = 0; i < aExpected.size(); ++i) {
    difference |= aExpected[i] ^ static_cast<std::uint8_t>(aActual[i]);
  }
  return difference == 0;
}

std::string MakeNonce()
{
  std::random_device device;
  std::string nonce(kNonceBytes, '\0');
  for (std::size_t i = 0; i < nonce.size(); i += sizeof(std::uint32_t)) {
    const std::uint32_t word = device();
    std::memcpy(nonce.data() + i, &word, sizeof word);
  }
  return nonce;
}
