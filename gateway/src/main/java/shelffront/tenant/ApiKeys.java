package shelffront.tenant;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.Base64;

/**
 * Generated keys, for clients and administrators: 256 random bits, shown once. Only a hash is kept;
 * a key of that size can't be guessed, so that one round of SHA-256 is enough and costs the loop
 * thread microseconds.
 */
public final class ApiKeys {

  private static final int BYTES = 32;
  private static final SecureRandom RANDOM = new SecureRandom();

  private ApiKeys() {}

  /** Makes a key, as text that is safe in URLs. */
  public static String generate() {
    byte[] bytes = new byte[BYTES];
    RANDOM.nextBytes(bytes);
    return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes);
  }

  /** The hash that is kept of a key. */
  public static byte[] hash(byte[] key) {
    try {
      return MessageDigest.getInstance("SHA-256").digest(key);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }

  public static byte[] hash(String key) {
    return hash(key.getBytes(UTF_8));
  }

  /** Takes the same time wherever the two differ. */
  public static boolean matches(byte[] hash, byte[] key) {
    return MessageDigest.isEqual(hash, hash(key));
  }
}
