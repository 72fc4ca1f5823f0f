package org.wagtailpin.membership;

/** What this entry knows about the registration of another one in the store. */
enum RegistrationState {
  /** The other entry was named by a third one only. */
  UNKNOWN,
  /** The other entry says that it is not registered yet. */
  NOT_REGISTERED,
  /** The other entry says that it is registered, or the store holds its registration. */
  REGISTERED
}
