package org.wagtailpin.hostlist;

import java.util.concurrent.CompletableFuture;

/** The platform's list of hosts. It may be stale: a host can be listed after it was removed. */
public interface HostList {

  /** Reads the list asynchronously. The future never completes exceptionally. */
  CompletableFuture<HostListResult> list();
}
