/** Messages between entries, over Netty with protobuf. */
package org.wagtailpin.entrypeer;
