package org.wagtailpin.membership;

/** What this entry knows about the registration of another one in the store. */
enum RegistrationState {
  /** Not known: the other entry was only named by a third one. */
  UNKNOWN,
  /** The other entry reported that it is not registered yet. */
  NOT_REGISTERED,
  /** The other entry reported that it is registered, or the store holds its registration. */
  REGISTERED
}
