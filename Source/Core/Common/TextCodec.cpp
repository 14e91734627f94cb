#include "Common/TextCodec.h"

#include <glib.h>

std::string ToBase64(std::string_view aBytes)
{
  gchar* text = g_base64_encode(reinterpret_cast<const guchar*>(aBytes.data()),
                                aBytes.size());
  std::string encoded(text);
  g_free(text);
  return encoded;
}

std::string FromBase64(const std::string& aText)
{
  gsize size = 0;
  guchar* bytes = g_base64_decode(aText.c_str(), &size);
  std::string decoded(reinterpret_cast<const char*>(bytes), size);
  g_free(bytes);
  return decoded;
}

std::string EscapeUri(const std::string& aText)
{
  gchar* text = g_uri_escape_string(aText.c_str(), nullptr, FALSE);
  std::string escaped(text);
  g_free(text);
  return escaped;
}
