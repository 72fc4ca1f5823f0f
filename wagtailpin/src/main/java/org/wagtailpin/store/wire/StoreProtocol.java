package org.wagtailpin.store.wire;

/** Paths, parameters and headers of the store's HTTP interface. */
public final class StoreProtocol {

  /** Path of a key: GET reads, PUT writes, DELETE deletes. */
  public static final String KEY_PATH = "/v1/key";

  /** Path to list keys. */
  public static final String LIST_PATH = "/v1/keys";

  /** Path to wait for changes. */
  public static final String CHANGES_PATH = "/v1/changes";

  /** Path of leases: POST grants, PUT renews, DELETE revokes. */
  public static final String LEASE_PATH = "/v1/lease";

  public static final String KEY_PARAMETER = "key";
  public static final String PREFIX_PARAMETER = "prefix";
  public static final String CONDITION_PARAMETER = "if";
  public static final String LEASE_PARAMETER = "lease";
  public static final String TTL_PARAMETER = "ttlMillis";
  public static final String AFTER_PARAMETER = "after";
  public static final String WAIT_PARAMETER = "waitMillis";

  /** Condition of a write that always takes effect. */
  public static final String ALWAYS = "always";

  /** Condition of a write to a key that must not exist; else the condition is a revision. */
  public static final String ABSENT = "absent";

  /** Header with the revision of the store when it answered. */
  public static final String STORE_REVISION_HEADER = "Store-Revision";

  /** Header with the revision of the key's last change, 0 if the key does not exist. */
  public static final String KEY_REVISION_HEADER = "Key-Revision";

  /** Header with the number of the lease that a key ends with or that a call is about. */
  public static final String LEASE_HEADER = "Key-Lease";

  /** Header by which the store says that it refused a call, so that it had no effect. */
  public static final String REFUSED_HEADER = "Store-Refused";

  /** Header that names the client, for the store's records. */
  public static final String CLIENT_HEADER = "Store-Client";

  private StoreProtocol() {}
}
