package org.wagtailpin.store.wire;

/** Paths, query parameters and headers of the store's HTTP interface. */
public final class StoreProtocol {

  /** Path for a single key: GET reads, PUT writes, DELETE deletes. */
  public static final String KEY_PATH = "/v1/key";

  /** Path for listing the keys with a prefix. */
  public static final String LIST_PATH = "/v1/keys";

  /** Path for watching changes (long polling). */
  public static final String CHANGES_PATH = "/v1/changes";

  /** Path for leases: POST grants, PUT renews, DELETE revokes. */
  public static final String LEASE_PATH = "/v1/lease";

  public static final String KEY_PARAMETER = "key";
  public static final String PREFIX_PARAMETER = "prefix";
  public static final String CONDITION_PARAMETER = "if";
  public static final String LEASE_PARAMETER = "lease";
  public static final String TTL_PARAMETER = "ttlMillis";
  public static final String AFTER_PARAMETER = "after";
  public static final String WAIT_PARAMETER = "waitMillis";

  /** Value of the condition parameter for an unconditional write. */
  public static final String ALWAYS = "always";

  /**
   * Value of the condition parameter for a write that requires that the key does not exist. Any
   * other value except {@link #ALWAYS} is the required revision of the key.
   */
  public static final String ABSENT = "absent";

  /** Header with the revision of the store at the time of the response. */
  public static final String STORE_REVISION_HEADER = "Store-Revision";

  /**
   * Header with the number of times that the store was restored from an older copy. Revisions and
   * leases are those of this era; each restore assigns some of them again.
   */
  public static final String ERA_HEADER = "Store-Era";

  /** Header with the revision of the key's last change, 0 if the key does not exist. */
  public static final String KEY_REVISION_HEADER = "Key-Revision";

  /** Header with the number of the lease of a key, or of the lease that a call grants or renews. */
  public static final String LEASE_HEADER = "Key-Lease";

  /** Response header that marks a refused call; such a call had no effect. */
  public static final String REFUSED_HEADER = "Store-Refused";

  /** Request header that names the client in the store's records. */
  public static final String CLIENT_HEADER = "Store-Client";

  private StoreProtocol() {}
}
