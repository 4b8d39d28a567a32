package shelffront.admin;

import static java.nio.charset.StandardCharsets.UTF_8;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.HexFormat;
import java.util.function.LongSupplier;
import shelffront.store.DocumentStore;
import shelffront.store.DocumentStore.ConflictException;
import shelffront.store.DocumentStore.Entry;
import shelffront.store.DocumentStore.Kind;
import shelffront.tenant.ApiKeys;
import shelffront.tenant.TenantSpecCodec;

/**
 * Administrators' tokens: {@code name.secret}, random, shown once and kept as a hash. One that is
 * rotated has a new secret, and the old one for an overlap.
 */
public final class AdminTokens {

  /** Longer ones are no tokens and are not looked at. */
  private static final int MAX_TOKEN_LENGTH = 128;

  private static final byte[] HASH_OF_NO_SECRET = new byte[32];

  /** Who asks: an operator, or the administrator of one tenant. */
  public record Caller(String token, String tenant) {

    boolean isOperator() {
      return tenant == null;
    }

    /** Whether it may know of a tenant at all. */
    boolean maySee(String id) {
      return tenant == null || tenant.equals(id);
    }
  }

  private final DocumentStore store;
  private final LongSupplier clock;

  /** The clock gives Unix milliseconds. */
  public AdminTokens(DocumentStore store, LongSupplier clock) {
    this.store = store;
    this.clock = clock;
  }

  /**
   * Makes a token of an operator (no tenant) or a tenant's administrator; the answer is the only
   * place it is in.
   */
  public String create(String tenant, String actor) throws ConflictException {
    byte[] random = ApiKeys.hash(ApiKeys.generate());
    String name = HexFormat.of().formatHex(random, 0, 8);
    String secret = ApiKeys.generate();
    ObjectNode document = TenantSpecCodec.JSON.createObjectNode().put("tenant", tenant);
    addHash(document.putArray("hashes"), secret);
    store.put(Kind.TOKEN, name, 0, document, actor, "create token", clock.getAsLong());
    return name + "." + secret;
  }

  /**
   * Gives a new secret; those before it hold for the overlap, in milliseconds. Null where there is
   * no such token.
   */
  public String rotate(String name, long overlapMillis, String actor) throws ConflictException {
    Entry entry = store.get(Kind.TOKEN, name);
    if (entry == null) {
      return null;
    }
    long nowMillis = clock.getAsLong();
    String secret = ApiKeys.generate();
    ObjectNode document = entry.document().deepCopy();
    ArrayNode hashes = TenantSpecCodec.JSON.createArrayNode();
    addHash(hashes, secret);
    for (JsonNode hash : entry.document().path("hashes")) {
      long untilMillis =
          Math.min(hash.path("until").asLong(Long.MAX_VALUE), nowMillis + overlapMillis);
      if (untilMillis > nowMillis) {
        hashes.add(((ObjectNode) hash.deepCopy()).put("until", untilMillis));
      }
    }
    document.set("hashes", hashes);
    store.put(Kind.TOKEN, name, entry.revision(), document, actor, "rotate token", nowMillis);
    return name + "." + secret;
  }

  /** Whether there was such a token; it holds no longer. */
  public boolean revoke(String name, String actor) throws ConflictException {
    Entry entry = store.get(Kind.TOKEN, name);
    if (entry != null) {
      store.put(Kind.TOKEN, name, entry.revision(), null, actor, "revoke token", clock.getAsLong());
    }
    return entry != null;
  }

  private static void addHash(ArrayNode hashes, String secret) {
    hashes.addObject().put("sha256", HexFormat.of().formatHex(ApiKeys.hash(secret)));
  }

  /** Who shows a token, or null. */
  public Caller authenticate(String token) {
    int dot = token.length() > MAX_TOKEN_LENGTH ? -1 : token.indexOf('.');
    Entry entry = dot < 1 ? null : store.get(Kind.TOKEN, token.substring(0, dot));
    byte[] secret =
        token
            .substring(dot + 1, Math.min(token.length(), dot + 1 + MAX_TOKEN_LENGTH))
            .getBytes(UTF_8);
    boolean matches = false;
    if (entry == null) {
      ApiKeys.matches(HASH_OF_NO_SECRET, secret); // a name that nobody has takes as long
    } else {
      for (JsonNode hash : entry.document().path("hashes")) {
        matches |=
            ApiKeys.matches(HexFormat.of().parseHex(hash.path("sha256").asText()), secret)
                && hash.path("until").asLong(Long.MAX_VALUE) > clock.getAsLong();
      }
    }
    return matches ? new Caller(entry.name(), entry.document().path("tenant").asText(null)) : null;
  }
}
