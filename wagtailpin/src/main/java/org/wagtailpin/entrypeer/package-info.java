/** Request-response messaging between entries, over TCP with Netty and protobuf. */
package org.wagtailpin.entrypeer;
