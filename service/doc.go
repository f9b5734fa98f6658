// Package service holds the edges of the programs.
package service
